/** Stand-in for the platform's log service. */
package org.banyanstair.testsupport.log;
