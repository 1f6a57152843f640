/** Failures as values: every way in which an operation can fail has a type that carries the values behind it. */
package org.banyanstair.errors;
