package org.banyanstair.testsupport.load;

/**
 * A call of {@code POST /v1/chat/completions} with one user message.
 *
 * @param headers the headers
 * @param model {@code service/adapter} or {@code service/adapter@version}
 * @param prompt text of the message
 * @param maximumTokens most tokens to generate
 * @param stream whether to stream the answer
 */
public record ChatCall(CallerHeaders headers, String model, String prompt, int maximumTokens, boolean stream) {}
