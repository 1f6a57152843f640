package org.banyanstair.testsupport.load;

/**
 * A request for a chat completion with one user message, or for a text completion.
 *
 * @param model {@code service/adapter} or {@code service/adapter@version}
 * @param prompt text of the message
 * @param maximumTokens maximum number of tokens to generate
 */
public record ChatCall(CallerHeaders headers, String model, String prompt, int maximumTokens, boolean stream) {}
