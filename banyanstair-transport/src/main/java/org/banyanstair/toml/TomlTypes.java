package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;
import org.banyanstair.model.Names;
import org.banyanstair.model.NetworkAddress;

/** Factory of the types that file descriptions are composed of. */
public final class TomlTypes {
    private TomlTypes() {}

    /** Accepts strings of a minimum length, in characters. */
    public static TomlType<String> string(int minimumLength) {
        return scalar(
                "a string of at least " + minimumLength + " characters",
                node -> node.isTextual() && node.textValue().length() >= minimumLength,
                JsonNode::textValue);
    }

    /** Accepts integers in a range; both bounds are inclusive. */
    public static TomlType<Long> integer(long minimum, long maximum) {
        return scalar(
                "a whole number from " + minimum + " to " + maximum,
                node -> node.isIntegralNumber()
                        && node.canConvertToLong()
                        && node.longValue() >= minimum
                        && node.longValue() <= maximum,
                JsonNode::longValue);
    }

    /** Accepts integers in a range within {@code int}; both bounds are inclusive. */
    public static TomlType<Integer> int32(int minimum, int maximum) {
        return map(integer(minimum, maximum), Math::toIntExact);
    }

    /** Accepts integers and decimal numbers in a range; both bounds are inclusive. */
    public static TomlType<Double> decimal(double minimum, double maximum) {
        return scalar(
                "a number from " + minimum + " to " + maximum,
                node -> node.isNumber() && node.doubleValue() >= minimum && node.doubleValue() <= maximum,
                JsonNode::doubleValue);
    }

    /** Accepts {@code true} and {@code false}. */
    public static TomlType<Boolean> bool() {
        return scalar("true or false", JsonNode::isBoolean, JsonNode::booleanValue);
    }

    /**
     * Accepts names of the form that {@link Names#check} describes.
     *
     * @param create creates the value from the name
     */
    public static <T> TomlType<T> name(Function<String, T> create) {
        return parsed(Names.ACCEPTED_FORMAT, text -> create.apply(Names.check("name", text)));
    }

    /** Accepts an IPv4 address with a port. */
    public static TomlType<NetworkAddress> address() {
        return parsed(NetworkAddress.ACCEPTED_FORMAT, NetworkAddress::parse);
    }

    /**
     * Accepts one of a fixed set of words.
     *
     * @param values value by word
     */
    public static <T> TomlType<T> oneOf(Map<String, T> values) {
        String accepted =
                "one of " + String.join(", ", values.keySet().stream().sorted().toList());
        return scalar(
                accepted,
                node -> node.isTextual() && values.containsKey(node.textValue()),
                node -> values.get(node.textValue()));
    }

    /**
     * Accepts strings that a function can parse.
     *
     * @param accepted description of the accepted values, which completes "must be"
     * @param parse parses the string; throws {@link FailureException} for a string that is not accepted
     */
    public static <T> TomlType<T> parsed(String accepted, Function<String, T> parse) {
        return described(accepted, value -> {
            try {
                JsonNode node = value.node();
                return node.isTextual() ? Optional.of(parse.apply(node.textValue())) : value.reject(accepted);
            } catch (FailureException exception) {
                return value.reject(accepted);
            }
        });
    }

    /** Accepts lists of a minimum size. */
    public static <T> TomlType<List<T>> list(TomlType<T> type, int minimumSize) {
        String accepted = "a list of at least " + minimumSize + " elements, each of them " + type.accepted();
        return described(accepted, value -> {
            if (!value.node().isArray() || value.node().size() < minimumSize) {
                return value.reject(accepted);
            }
            List<T> elements = new ArrayList<>();
            for (int index = 0; index < value.node().size(); index++) {
                type.read(value.element(index)).ifPresent(elements::add);
            }
            return elements.size() == value.node().size() ? Optional.of(elements) : Optional.empty();
        });
    }

    /**
     * Accepts tables.
     *
     * @param read reads the keys and returns a builder, which is called only if all keys are valid; a {@link
     *     FailureException} of the builder is recorded as an error of the table
     */
    public static <T> TomlType<T> table(Function<TomlTable, Supplier<T>> read) {
        return described("a table", value -> {
            if (!value.node().isObject()) {
                return value.reject("a table");
            }
            int errorsBefore = value.errorCount();
            TomlTable table = new TomlTable(value);
            Supplier<T> builder = read.apply(table);
            table.rejectUnknownKeys();
            return value.errorCount() == errorsBefore ? build(value, builder) : Optional.empty();
        });
    }

    private static <T> Optional<T> build(TomlValue value, Supplier<T> builder) {
        try {
            return Optional.of(builder.get());
        } catch (FailureException exception) {
            Failure failure = exception.failure();
            return value.reject(
                    failure instanceof Failure.InvalidField field
                            ? "a table whose " + field.field() + " is " + field.accepted()
                            : exception.getMessage());
        }
    }

    private static <T, R> TomlType<R> map(TomlType<T> type, Function<T, R> function) {
        return described(type.accepted(), value -> type.read(value).map(function));
    }

    private static <T> TomlType<T> scalar(
            String accepted, Predicate<JsonNode> isAccepted, Function<JsonNode, T> convert) {
        return described(
                accepted,
                value -> isAccepted.test(value.node())
                        ? Optional.of(convert.apply(value.node()))
                        : value.reject(accepted));
    }

    private static <T> TomlType<T> described(String accepted, TomlType<T> type) {
        return new TomlType<>() {
            @Override
            public Optional<T> read(TomlValue value) {
                return type.read(value);
            }

            @Override
            public String accepted() {
                return accepted;
            }
        };
    }
}
