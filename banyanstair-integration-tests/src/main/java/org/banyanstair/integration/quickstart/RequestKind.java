package org.banyanstair.integration.quickstart;

/** The kinds of sample requests, in the order of the report. */
enum RequestKind {
    CHAT_STREAMED("chat, streamed", true),
    CHAT("chat", true),
    COMPLETION_STREAMED("completion, streamed", true),
    COMPLETION("completion", true),
    STOCK("stock lookup", true),
    ORDER("order", false),
    SAME_KEY_ORDER("order, same key at all hosts", false),
    BAD("bad request", false);

    private final String label;
    private final boolean repeatable;

    RequestKind(String label, boolean repeatable) {
        this.label = label;
        this.repeatable = repeatable;
    }

    String label() {
        return label;
    }

    boolean isRepeatable() {
        return repeatable;
    }

    boolean isGeneration() {
        return ordinal() <= COMPLETION.ordinal();
    }
}
