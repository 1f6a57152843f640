/** Client of the operator API, and submission of configuration changes. */
package org.banyanstair.cli.operator;
