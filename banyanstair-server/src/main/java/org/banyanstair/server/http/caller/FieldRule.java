package org.banyanstair.server.http.caller;

import java.util.List;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/**
 * Validation rule of a field of a generation request. Fields without a rule are forwarded to the engine unchanged.
 *
 * @param field name of the field
 * @param required whether it must be present and not null
 * @param accepted description of the accepted values, for the error message
 * @param condition predicate for accepted values
 */
record FieldRule(String field, boolean required, String accepted, Predicate<JsonNode> condition) {
    private static final int MAXIMUM_TOKENS = 4096;
    private static final int MAXIMUM_CHOICES = 8;
    private static final int MAXIMUM_STOP_SEQUENCES = 4;

    private static final List<FieldRule> COMMON = List.of(
            required("model", org.banyanstair.model.ModelName.ACCEPTED_FORMAT, JsonNode::isTextual),
            optional("stream", "true or false", JsonNode::isBoolean),
            optional("stream_options", "an object", JsonNode::isObject),
            integer("max_tokens", 1, MAXIMUM_TOKENS),
            integer("n", 1, MAXIMUM_CHOICES),
            number("temperature", 0, 2),
            number("top_p", 0, 1),
            number("presence_penalty", -2, 2),
            number("frequency_penalty", -2, 2),
            optional("seed", "a whole number", JsonNode::isIntegralNumber),
            optional("user", "a string", JsonNode::isTextual),
            optional("stop", "a string or a list of at most 4 strings", FieldRule::isStop));

    private static final List<FieldRule> CHAT = List.of(
            required(
                    "messages",
                    "a list of at least one object with a string role",
                    node -> isListOf(node, message -> message.path("role").isTextual())),
            integer("max_completion_tokens", 1, MAXIMUM_TOKENS),
            optional("logprobs", "true or false", JsonNode::isBoolean),
            integer("top_logprobs", 0, 20));

    private static final List<FieldRule> COMPLETION = List.of(
            required("prompt", "a string or a list of at least one string or number", FieldRule::isPrompt),
            integer("logprobs", 0, 5),
            integer("best_of", 1, MAXIMUM_CHOICES),
            optional("echo", "true or false", JsonNode::isBoolean));

    /** Validates all fields of a request. */
    static void check(ObjectNode body, boolean chat) {
        COMMON.forEach(rule -> rule.check(body));
        (chat ? CHAT : COMPLETION).forEach(rule -> rule.check(body));
    }

    private void check(ObjectNode body) {
        JsonNode value = body.path(field);
        boolean missing = value.isMissingNode() || value.isNull();
        if (missing ? required : !condition.test(value)) {
            throw new FailureException(new Failure.InvalidField(field, accepted));
        }
    }

    private static FieldRule required(String field, String accepted, Predicate<JsonNode> condition) {
        return new FieldRule(field, true, accepted, condition);
    }

    private static FieldRule optional(String field, String accepted, Predicate<JsonNode> condition) {
        return new FieldRule(field, false, accepted, condition);
    }

    private static FieldRule integer(String field, int minimum, int maximum) {
        return optional(
                field,
                "a whole number from " + minimum + " to " + maximum,
                node -> node.isIntegralNumber()
                        && node.canConvertToInt()
                        && node.intValue() >= minimum
                        && node.intValue() <= maximum);
    }

    private static FieldRule number(String field, int minimum, int maximum) {
        return optional(
                field,
                "a number from " + minimum + " to " + maximum,
                node -> node.isNumber() && node.doubleValue() >= minimum && node.doubleValue() <= maximum);
    }

    private static boolean isStop(JsonNode node) {
        boolean emptyList = node.isArray() && node.isEmpty();
        return node.isTextual()
                || emptyList
                || isListOf(node, JsonNode::isTextual) && node.size() <= MAXIMUM_STOP_SEQUENCES;
    }

    private static boolean isPrompt(JsonNode node) {
        return node.isTextual()
                || isListOf(node, element -> element.isTextual() || element.isIntegralNumber() || element.isArray());
    }

    private static boolean isListOf(JsonNode node, Predicate<JsonNode> condition) {
        if (!node.isArray() || node.isEmpty()) {
            return false;
        }
        for (JsonNode element : node) {
            if (!condition.test(element)) {
                return false;
            }
        }
        return true;
    }
}
