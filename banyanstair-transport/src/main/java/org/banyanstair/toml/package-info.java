/** Strict reading of TOML files against typed descriptions, with the location of every error. */
package org.banyanstair.toml;
