/** Child processes of a test. */
package org.banyanstair.testsupport.process;
