/** What the stand-ins of engines and plain services share: the HTTP server, its connections and fault settings. */
package org.banyanstair.testsupport.endpoint;
