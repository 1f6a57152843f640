/** Load, operators and observers for the checks of configuration, leaving and stopping. */
package org.banyanstair.integration.hosts;
