/** Connections between entry hosts: length-prefixed MessagePack frames over TCP, heartbeats and reconnection. */
package org.banyanstair.transport;
