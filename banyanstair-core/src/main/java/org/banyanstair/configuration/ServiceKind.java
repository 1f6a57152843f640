package org.banyanstair.configuration;

/** What a service runs on. */
public enum ServiceKind {
    /** Text generation on engines, through LoRA adapters. */
    GENERATION,
    /** Calls passed through to plain services. */
    PLAIN
}
