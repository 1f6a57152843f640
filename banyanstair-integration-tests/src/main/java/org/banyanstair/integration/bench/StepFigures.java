package org.banyanstair.integration.bench;

import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.node.ArrayNode;

/** Extracts one figure from all steps of a benchmark. */
final class StepFigures {
    private StepFigures() {}

    static double[] values(ArrayNode steps, String figure) {
        return StreamSupport.stream(steps.spliterator(), false)
                .mapToDouble(step -> step.required(figure).asDouble())
                .toArray();
    }
}
