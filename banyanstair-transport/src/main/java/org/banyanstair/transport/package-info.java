/** Connections between entry hosts: length-prefixed TCP frames with MessagePack, heartbeats and reconnection. */
package org.banyanstair.transport;
