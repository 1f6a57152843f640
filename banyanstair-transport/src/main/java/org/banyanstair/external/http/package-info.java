/** HTTP clients of external systems: engines, plain services, the log service and the host list. */
package org.banyanstair.external.http;
