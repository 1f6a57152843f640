package org.banyanstair.testsupport.service;

/**
 * Settings of the plain service stand-in.
 *
 * @param port port to listen on, 0 for a free one
 * @param stock quantity that every stock lookup returns
 */
public record PlainServiceSettings(int port, int stock) {
    /** A free port and a stock of 40. */
    public static final PlainServiceSettings DEFAULT = new PlainServiceSettings(0, 40);
}
