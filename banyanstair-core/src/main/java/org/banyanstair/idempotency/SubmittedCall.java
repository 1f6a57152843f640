package org.banyanstair.idempotency;

import org.banyanstair.model.HostId;
import org.banyanstair.peer.PeerMessage;

/** An attempt that was submitted to this writer, with its progress. Not thread-safe. */
final class SubmittedCall {
    /** Progress of an attempt. */
    enum Stage {
        /** Waits for the next append. */
        QUEUED,
        /** Was or may have been appended; reading the stream shows which. */
        APPENDED,
        /** Waits for another attempt with the same key. */
        JOINED,
        /** Was sent to an endpoint. */
        DISPATCHED,
        /** Will never be dispatched by this writer. */
        DEAD,
        /** Has an answer. */
        ANSWERED
    }

    private final PeerMessage.CallSubmit submit;
    private HostId submitter;
    private Stage stage = Stage.QUEUED;
    private boolean voidsRecorded;
    private int dispatches;
    private CallAnswer answer;

    SubmittedCall(PeerMessage.CallSubmit submit, HostId submitter) {
        this.submit = submit;
        this.submitter = submitter;
        this.voidsRecorded = submit.voided().isEmpty();
    }

    PeerMessage.CallSubmit submit() {
        return submit;
    }

    HostId submitter() {
        return submitter;
    }

    void setSubmitter(HostId host) {
        submitter = host;
    }

    Stage stage() {
        return stage;
    }

    void moveTo(Stage next) {
        stage = next;
    }

    boolean voidsRecorded() {
        return voidsRecorded;
    }

    void markVoidsRecorded() {
        voidsRecorded = true;
    }

    int dispatches() {
        return dispatches;
    }

    void countDispatch() {
        dispatches++;
    }

    CallAnswer answer() {
        return answer;
    }

    void answer(CallAnswer value) {
        answer = value;
        stage = Stage.ANSWERED;
    }
}
