package org.banyanstair.errors;

/** Wraps a {@link Failure} for code that can only report errors by throwing, such as record constructors. */
public final class FailureException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient Failure failure;

    /**
     * Creates the exception.
     *
     * @param failure the failure, not null
     */
    public FailureException(Failure failure) {
        super(FailureText.of(failure));
        this.failure = failure;
    }

    /**
     * Returns the failure.
     *
     * @return the failure, not null
     */
    public Failure failure() {
        return failure;
    }
}
