/** Live and leaving hosts and endpoints, as the platform's host list and the connections between hosts show them. */
package org.banyanstair.membership;
