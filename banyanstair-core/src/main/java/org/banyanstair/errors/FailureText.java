package org.banyanstair.errors;

import java.lang.reflect.RecordComponent;
import java.util.ResourceBundle;

/** Formats the message texts of failures from the bundle of this package. */
public final class FailureText {
    private static final ResourceBundle MESSAGES = ResourceBundle.getBundle("org.banyanstair.errors.messages");

    private FailureText() {}

    /**
     * Returns the message text of a failure.
     *
     * @param failure the failure, not null
     * @return the text of the bundle with each {@code {component}} replaced by the value of the record component
     */
    public static String of(Failure failure) {
        String text = MESSAGES.getString(failure.code());
        for (RecordComponent component : failure.getClass().getRecordComponents()) {
            text = text.replace("{" + component.getName() + "}", String.valueOf(value(failure, component)));
        }
        return text;
    }

    private static Object value(Failure failure, RecordComponent component) {
        try {
            return component.getAccessor().invoke(failure);
        } catch (ReflectiveOperationException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
