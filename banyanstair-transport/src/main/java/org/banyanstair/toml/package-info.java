/** Strict parsing of TOML files against typed descriptions; every error carries its position. */
package org.banyanstair.toml;
