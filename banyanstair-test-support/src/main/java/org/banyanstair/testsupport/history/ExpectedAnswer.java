package org.banyanstair.testsupport.history;

/**
 * What the stand-in of an endpoint generates for a request.
 *
 * @param tokens number of tokens
 * @param textDigest digest of the text or body
 */
public record ExpectedAnswer(int tokens, String textDigest) {}
