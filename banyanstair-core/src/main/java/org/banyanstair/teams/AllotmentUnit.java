package org.banyanstair.teams;

/** What an allotment counts. */
public enum AllotmentUnit {
    REQUESTS,
    TOKENS
}
