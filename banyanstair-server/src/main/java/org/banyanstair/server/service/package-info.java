/** What the HTTP interfaces of the daemon need from the rest of it. */
package org.banyanstair.server.service;
