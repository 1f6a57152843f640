/** Services that the HTTP interfaces of the daemon depend on. */
package org.banyanstair.server.service;
