package org.banyanstair.testsupport.log;

import java.util.List;
import java.util.Objects;

/** Body of an append request; records are Base64 in JSON. */
record AppendRequest(List<byte[]> records) {
    AppendRequest {
        if (records == null || records.isEmpty() || records.stream().anyMatch(Objects::isNull)) {
            throw new IllegalArgumentException("records must not be empty");
        }
    }
}
