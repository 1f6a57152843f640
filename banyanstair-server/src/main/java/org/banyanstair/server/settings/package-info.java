/** Settings of the daemon, read from a TOML file. */
package org.banyanstair.server.settings;
