/** Stand-ins for the platform, the endpoints and the network, for use in tests. */
package org.banyanstair.testsupport;
