/** Software versions of endpoints: which one began a stream, so that only it continues the stream. */
package org.banyanstair.versions;
