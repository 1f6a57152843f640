package org.banyanstair.integration.quickstart;

/** The promises that the quick start checks, in the order of the report. */
enum Promise {
    NAMED_VERSION("every request ran on the adapter and version that it named"),
    NO_UNLOAD_IN_USE("no adapter in use was unloaded"),
    OWN_ANSWER("every answer was whole and the right one"),
    NOT_RUN("no request ran whose caller was told \"not run\""),
    AT_MOST_ONCE("no order ran more than once"),
    NOTHING_LOST("every acknowledged order ran, and every idempotent request was answered"),
    SAME_ANSWER("all answers to the same key were equal"),
    BAD_REFUSED("every bad request was refused for the right reason");

    private final String text;

    Promise(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
