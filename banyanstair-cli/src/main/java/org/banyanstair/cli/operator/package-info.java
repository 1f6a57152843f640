/** Client of the operator protocol, and how changes are submitted through it. */
package org.banyanstair.cli.operator;
