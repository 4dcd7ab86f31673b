package org.pollensill.entry;

import org.pollensill.contract.Refusal;
import org.pollensill.runtime.http.Answer;

/** Receives the outcome of one request. Exactly one of the two methods is called, once. */
interface ReplyHandler {

    /**
     * Called with the upstream's complete answer.
     *
     * @param answer the answer
     */
    void answered(Answer answer);

    /**
     * Called when there is no answer.
     *
     * @param refusal the reason, which states whether the request is certain not to have run
     */
    void refused(Refusal refusal);
}
