/** Who may use the system, by which keys, and how much. */
package org.banyanstair.teams;
