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

/** The types from which descriptions of files are put together. */
public final class TomlTypes {
    private TomlTypes() {}

    /**
     * Accepts strings of a minimum length.
     *
     * @param minimumLength least number of characters
     * @return the type
     */
    public static TomlType<String> string(int minimumLength) {
        return scalar(
                "a string of at least " + minimumLength + " characters",
                node -> node.isTextual() && node.textValue().length() >= minimumLength,
                JsonNode::textValue);
    }

    /**
     * Accepts whole numbers in a range.
     *
     * @param minimum least accepted value
     * @param maximum greatest accepted value
     * @return the type
     */
    public static TomlType<Long> integer(long minimum, long maximum) {
        return scalar(
                "a whole number from " + minimum + " to " + maximum,
                node -> node.isIntegralNumber()
                        && node.canConvertToLong()
                        && node.longValue() >= minimum
                        && node.longValue() <= maximum,
                JsonNode::longValue);
    }

    /**
     * Accepts whole numbers in a range of the type {@code int}.
     *
     * @param minimum least accepted value
     * @param maximum greatest accepted value
     * @return the type
     */
    public static TomlType<Integer> int32(int minimum, int maximum) {
        return map(integer(minimum, maximum), Math::toIntExact);
    }

    /**
     * Accepts numbers in a range, with or without a fraction.
     *
     * @param minimum least accepted value
     * @param maximum greatest accepted value
     * @return the type
     */
    public static TomlType<Double> decimal(double minimum, double maximum) {
        return scalar(
                "a number from " + minimum + " to " + maximum,
                node -> node.isNumber() && node.doubleValue() >= minimum && node.doubleValue() <= maximum,
                JsonNode::doubleValue);
    }

    /**
     * Accepts {@code true} and {@code false}.
     *
     * @return the type
     */
    public static TomlType<Boolean> bool() {
        return scalar("true or false", JsonNode::isBoolean, JsonNode::booleanValue);
    }

    /**
     * Accepts names of the form that {@link Names#check} describes.
     *
     * @param create creates the value from the name
     * @param <T> type of the value
     * @return the type
     */
    public static <T> TomlType<T> name(Function<String, T> create) {
        return parsed(Names.ACCEPTED_FORMAT, text -> create.apply(Names.check("name", text)));
    }

    /**
     * Accepts an IPv4 address with a port.
     *
     * @return the type
     */
    public static TomlType<NetworkAddress> address() {
        return parsed(NetworkAddress.ACCEPTED_FORMAT, NetworkAddress::parse);
    }

    /**
     * Accepts a few words.
     *
     * @param values value by word
     * @param <T> type of the value
     * @return the type
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
     * @param accepted words that complete "must be"
     * @param parse parses the string; throws {@link FailureException} for a string that is not accepted
     * @param <T> type of the value
     * @return the type
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

    /**
     * Accepts lists.
     *
     * @param type type of the elements
     * @param minimumSize least number of elements
     * @param <T> type of the elements
     * @return the type
     */
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
     * @param read reads the keys and returns a builder, which is called only if all keys are valid; a
     *     {@link FailureException} of the builder is recorded as an error of the table
     * @param <T> type of the value
     * @return the type
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
