/** Identifiers and small values that all other packages share. */
package org.banyanstair.model;
