/** Failures as values: each cause of a failure has a record type with its details. */
package org.banyanstair.errors;
