/** Serialization of the core's records as JSON and MessagePack. */
package org.banyanstair.codec;
