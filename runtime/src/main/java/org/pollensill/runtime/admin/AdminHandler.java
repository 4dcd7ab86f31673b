package org.pollensill.runtime.admin;

import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;

/** Handles the requests of one admin route. */
@FunctionalInterface
public interface AdminHandler {

    /**
     * Handles a request.
     *
     * @param operator the authenticated operator
     * @param request the request
     * @param responder receives the response
     */
    void handle(Operator operator, Request request, Responder responder);
}
