/** The commands of the tool. */
package org.banyanstair.cli.command;
