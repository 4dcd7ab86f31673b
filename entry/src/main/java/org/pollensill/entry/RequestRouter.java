package org.pollensill.entry;

/** Routes requests to the local pool, to peers, or through a claim of an idempotency key. */
interface RequestRouter {

    /**
     * Routes a request.
     *
     * @param request the request
     * @param replyHandler receives the outcome
     */
    void route(CallerRequest request, ReplyHandler replyHandler);

    /**
     * Cancels a request for which nobody waits any more. What was dispatched goes on.
     *
     * @param request the request
     */
    void cancel(CallerRequest request);
}
