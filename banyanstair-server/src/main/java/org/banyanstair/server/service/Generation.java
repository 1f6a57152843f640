package org.banyanstair.server.service;

import java.time.Instant;

import org.banyanstair.configuration.ServiceDeclaration;
import org.banyanstair.model.AdapterVersion;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.Fingerprint;
import org.banyanstair.model.PriorityClass;
import org.banyanstair.model.RequestId;

/**
 * A checked generation request of a caller.
 *
 * @param id id that the entry host assigned
 * @param service service as declared at the moment of arrival
 * @param adapter adapter version to run on
 * @param caller the caller
 * @param priority priority class
 * @param deadline instant after which the caller does not wait
 * @param path {@code /v1/chat/completions} or {@code /v1/completions}
 * @param body JSON body for the engine: {@code model} is the engine name of the adapter, {@code stream} is on
 * @param prefix hash of the first part of the prompt
 * @param fingerprint digest of caller, model and body
 */
public record Generation(
        RequestId id,
        ServiceDeclaration service,
        AdapterVersion adapter,
        CallerId caller,
        PriorityClass priority,
        Instant deadline,
        String path,
        byte[] body,
        long prefix,
        Fingerprint fingerprint) {}
