/** HTTP interface for callers: OpenAI protocol, plain service calls and entry addresses. */
package org.banyanstair.server.http.caller;
