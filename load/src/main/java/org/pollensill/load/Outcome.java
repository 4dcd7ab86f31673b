package org.pollensill.load;

/** Outcome of a request from the perspective of its caller. */
enum Outcome {
    /** A complete answer to this request was received. */
    COMPLETED,
    /** The request was refused, and the answer states that it has not run. */
    NOT_RUN,
    /** The answer states that the request may have run. */
    UNKNOWN,
    /** No answer arrived within the grace time, or the connection was lost. */
    NO_ANSWER,
    /** The request was not sent, because no address accepted a connection in time. */
    NOT_SENT,
    /** The answer belongs to another request, is truncated or does not state an outcome. */
    WRONG_ANSWER
}
