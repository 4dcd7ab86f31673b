package org.pollensill.contract;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/** Checks that an upstream's answer is complete and belongs to the request that was sent. */
public final class AnswerCheck {

    /** Result of a check. */
    public enum Verdict {
        /** The complete answer to this request. */
        WHOLE,
        /** The answer carries no request id or that of another request; it is discarded and the connection closed. */
        MISMATCHED,
        /** The body is shorter or longer than declared, or the connection closed before its end. */
        TRUNCATED
    }

    private AnswerCheck() {}

    /**
     * Checks the head of an answer before any part of the answer is forwarded to the caller.
     *
     * @param requestId id of the request that was sent
     * @param answeredId request id that the answer carries
     * @return {@code MISMATCHED}, or {@code WHOLE} if the head has no fault
     */
    public static Verdict checkHead(String requestId, Optional<String> answeredId) {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(answeredId, "answeredId is null");
        return answeredId.isPresent() && answeredId.get().equals(requestId) ? Verdict.WHOLE : Verdict.MISMATCHED;
    }

    /**
     * Checks an answer after its last byte.
     *
     * @param requestId id of the request that was sent
     * @param answeredId request id that the answer carries
     * @param declaredBytes declared length of the body, empty for a chunked body or an answer without a body
     * @param receivedBytes received length of the body
     * @param complete whether the end of the message was received; a body that is delimited only by the close of the
     *     connection is not complete
     * @return the verdict
     */
    public static Verdict checkEnd(
            String requestId,
            Optional<String> answeredId,
            OptionalLong declaredBytes,
            long receivedBytes,
            boolean complete) {
        Objects.requireNonNull(declaredBytes, "declaredBytes is null");
        if (checkHead(requestId, answeredId) == Verdict.MISMATCHED) {
            return Verdict.MISMATCHED;
        }
        boolean lengthMatches = declaredBytes.isEmpty() || declaredBytes.getAsLong() == receivedBytes;
        return complete && lengthMatches ? Verdict.WHOLE : Verdict.TRUNCATED;
    }
}
