/** Whether the requests of a host leave its data centre, and how many. */
package org.banyanstair.locality;
