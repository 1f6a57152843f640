package org.banyanstair.server.service;

import java.util.Optional;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.external.ServiceCall;
import org.banyanstair.idempotency.CallKey;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.PriorityClass;

/**
 * Validated plain service call.
 *
 * @param service service as declared when the call arrived
 * @param caller the caller
 * @param priority priority class
 * @param call the call
 * @param key idempotency key of a call that must not be repeated; empty for an idempotent call, which may be retried
 * @param bodyDigest digest of method, path and body
 */
public record PlainCall(
        ServiceDeclaration service,
        CallerId caller,
        PriorityClass priority,
        ServiceCall call,
        Optional<CallKey> key,
        String bodyDigest) {}
