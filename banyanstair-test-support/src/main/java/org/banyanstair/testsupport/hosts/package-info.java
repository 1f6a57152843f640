/** Stand-in for the platform's host list. */
package org.banyanstair.testsupport.hosts;
