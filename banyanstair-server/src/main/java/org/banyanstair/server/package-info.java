/** The daemon {@code banyanstaird}. */
package org.banyanstair.server;
