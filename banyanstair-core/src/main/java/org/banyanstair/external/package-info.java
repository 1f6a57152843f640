/** Interfaces of the systems outside: log service, host list, engines and plain services. */
package org.banyanstair.external;
