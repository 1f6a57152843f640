/** HTTP clients of the platform's services. */
package org.banyanstair.platform.http;
