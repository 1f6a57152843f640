/** The interface for callers: OpenAI protocol, calls of plain services and entry addresses. */
package org.banyanstair.server.http.caller;
