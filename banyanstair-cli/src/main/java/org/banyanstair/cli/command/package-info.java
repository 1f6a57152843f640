/** Commands of the tool. */
package org.banyanstair.cli.command;
