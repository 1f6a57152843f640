/** Output as text and JSON. */
package org.banyanstair.cli.output;
