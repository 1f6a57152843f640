package org.banyanstair.cli.output;

import java.text.MessageFormat;
import java.util.ResourceBundle;

/** Formats the user-visible texts in the message bundle of the tool. */
public final class Messages {
    private static final ResourceBundle MESSAGES = ResourceBundle.getBundle("org.banyanstair.cli.messages");

    private Messages() {}

    /**
     * Formats a text.
     *
     * @param key key in the bundle
     * @param values values of the placeholders {0}, {1} and so on, formatted with {@link String#valueOf}
     */
    public static String format(String key, Object... values) {
        Object[] texts = new Object[values.length];
        for (int index = 0; index < values.length; index++) {
            // MessageFormat would format the number 4000 as 4,000.
            texts[index] = String.valueOf(values[index]);
        }
        return MessageFormat.format(MESSAGES.getString(key), texts);
    }
}
