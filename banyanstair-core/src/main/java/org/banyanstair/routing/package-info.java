/** Routing of plain service calls and generation requests on the entry host. */
package org.banyanstair.routing;
