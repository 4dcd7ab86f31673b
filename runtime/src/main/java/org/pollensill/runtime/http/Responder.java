package org.pollensill.runtime.http;

/** Sends the response to one request of a server. Thread-safe. */
public interface Responder {

    /**
     * Sends the response. Only the first call has an effect.
     *
     * @param answer the response
     */
    void answer(Answer answer);

    /**
     * Registers an action that runs if the connection closes before the response was sent.
     *
     * @param action the action, run at once if the connection is already closed
     */
    void onClose(Runnable action);
}
