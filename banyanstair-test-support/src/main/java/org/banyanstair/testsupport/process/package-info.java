/** Starts and controls child processes of tests. */
package org.banyanstair.testsupport.process;
