/** Identifiers and small value types that all other packages share. */
package org.banyanstair.model;
