/** HTTP server and fault settings shared by the engine and plain service stand-ins. */
package org.banyanstair.testsupport.endpoint;
