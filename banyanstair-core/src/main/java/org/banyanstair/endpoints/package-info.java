/** What a host believes of the registry entries of endpoints. */
package org.banyanstair.endpoints;
