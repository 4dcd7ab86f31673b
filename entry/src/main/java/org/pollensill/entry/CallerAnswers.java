package org.pollensill.entry;

import java.util.Locale;

import org.pollensill.contract.Refusal;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;

/** Creates answers to callers for the three outcomes: completed, not run and unknown. */
final class CallerAnswers {

    static final String REQUEST_ID = "Pollensill-Request-Id";
    static final String OUTCOME = "Pollensill-Outcome";
    static final String COMPLETED = "completed";
    static final String NOT_RUN = "not-run";
    static final String UNKNOWN = "unknown";

    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private CallerAnswers() {}

    /** Returns an upstream's answer with the request ID and outcome headers. */
    static Answer completed(String requestId, Answer answer) {
        return answer.withHeader(REQUEST_ID, requestId).withHeader(OUTCOME, COMPLETED);
    }

    /** Returns the error answer for a refused request. */
    static Answer refused(String requestId, Refusal refusal) {
        String type = refusal.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
        boolean notRun = refusal.reason().notRun();
        String message = notRun ? "the request was not run" : "it is unknown whether the request was run";
        Answer answer = Errors.answer(refusal.reason().status(), type, message, requestId)
                .withHeader(REQUEST_ID, requestId)
                .withHeader(OUTCOME, notRun ? NOT_RUN : UNKNOWN);
        if (refusal.reason().status() != 503 && refusal.reason().status() != 429) {
            return answer;
        }
        long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, refusal.retryAfterMs());
        return answer.withHeader("Retry-After", String.valueOf((retryAfterMs + 999) / 1000));
    }

    /** Returns the error answer for an invalid request, which was not sent to an upstream. */
    static Answer invalid(int status, String type, String message) {
        return Errors.answer(status, type, message, "").withHeader(OUTCOME, NOT_RUN);
    }
}
