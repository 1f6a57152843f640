/** Membership of hosts and endpoints, from the platform's host list and the connections between hosts. */
package org.banyanstair.membership;
