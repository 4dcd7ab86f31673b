package org.pollensill.runtime.http;

/** Handles the requests of a server. Runs on an event loop and must not block. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles a request.
     *
     * @param request the complete request
     * @param responder receives the response
     */
    void handle(Request request, Responder responder);
}
