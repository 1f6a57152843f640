package org.banyanstair.testsupport.history;

/**
 * Describes the answer that an endpoint stand-in gives to a request.
 *
 * @param textDigest digest of the text or body
 */
public record ExpectedAnswer(int tokens, String textDigest) {}
