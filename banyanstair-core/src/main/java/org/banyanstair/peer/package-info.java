/** Messages between entry hosts. Each may be lost, late or repeated; each is safe to repeat. */
package org.banyanstair.peer;
