/** Routing of calls to plain services and of generations to engines, seen from the entry host. */
package org.banyanstair.routing;
