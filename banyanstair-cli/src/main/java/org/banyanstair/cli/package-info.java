/** The command-line tool {@code banyanstairctl}. */
package org.banyanstair.cli;
