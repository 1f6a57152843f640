package org.banyanstair.testsupport.load;

import java.util.Optional;

import org.banyanstair.model.ServiceId;

/**
 * A request to a plain service.
 *
 * @param method HTTP method in upper case
 * @param path path and query below the service, starting with a slash
 * @param contentType content type of the body
 * @param body empty for none; not copied, must not be modified
 */
public record ServiceRequest(
        CallerHeaders headers,
        ServiceId service,
        String method,
        String path,
        Optional<String> contentType,
        byte[] body) {}
