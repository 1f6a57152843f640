package org.banyanstair.peer;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What a host knows of prompt parts that may crash endpoints.
 *
 * @param observed parts for which it has seen output since a crash
 * @param refused parts that it refuses
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartEvidence(List<ObservedPart> observed, List<RefusedPart> refused) {
    /** No knowledge. */
    public static final PartEvidence NONE = new PartEvidence(List.of(), List.of());

    /** Copies the lists. */
    public PartEvidence {
        observed = List.copyOf(observed);
        refused = List.copyOf(refused);
    }
}
