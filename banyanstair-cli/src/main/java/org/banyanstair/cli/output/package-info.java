/** Output for people and as JSON. */
package org.banyanstair.cli.output;
