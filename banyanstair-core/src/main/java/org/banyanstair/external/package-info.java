/** Interfaces to the external systems: log service, host list, engines and plain services. */
package org.banyanstair.external;
