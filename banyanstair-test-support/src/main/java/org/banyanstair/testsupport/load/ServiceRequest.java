package org.banyanstair.testsupport.load;

import java.util.Optional;

import org.banyanstair.model.ServiceId;

/**
 * A call of a plain service.
 *
 * @param headers the headers
 * @param service the service
 * @param method HTTP method in upper case
 * @param path path and query below the service, starting with a slash
 * @param contentType content type of the body
 * @param body body, empty for none; not to be changed
 */
public record ServiceRequest(
        CallerHeaders headers,
        ServiceId service,
        String method,
        String path,
        Optional<String> contentType,
        byte[] body) {}
