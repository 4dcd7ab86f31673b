package org.pollensill.entry;

import java.net.InetSocketAddress;

/** Sends requests to the peers that own upstreams. */
interface OwnerTransport {

    /**
     * Forwards a request.
     *
     * @param request the request
     * @param attempt number of the attempt to forward
     * @param owner the peer
     * @param replyHandler receives the peer's reply
     * @param onLost called instead if the connection closes first; it is then unknown whether the request ran
     * @return false if there is no connection and nothing was sent
     */
    boolean forward(
            CallerRequest request, int attempt, InetSocketAddress owner, ReplyHandler replyHandler, Runnable onLost);

    /**
     * Notifies the owner that the caller no longer waits for an answer.
     *
     * @param service the request's service
     * @param requestId the request ID
     * @param attempt number of the attempt
     */
    void cancel(String service, String requestId, int attempt);
}
