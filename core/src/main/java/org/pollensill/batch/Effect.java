package org.pollensill.batch;

import org.pollensill.platform.Commit;

/** An action that a shard's owner requests from its daemon. */
public sealed interface Effect {

    /**
     * Commits to the table service; the result goes to {@code committed}, {@code conflicted} or {@code commitFailed}.
     *
     * @param commit the commit
     */
    record Write(Commit commit) implements Effect {}

    /** Reads the head row; the result goes to {@code headRead} or {@code headReadFailed}. */
    record ReadHead() implements Effect {}

    /** Reads the head, then snapshot and rows; the result goes to {@code shardRead} or {@code shardReadFailed}. */
    record ReadShard() implements Effect {}

    /**
     * Writes an object; the result goes to {@code objectWritten}.
     *
     * @param name the object's name
     * @param content the content
     */
    record PutObject(String name, byte[] content) implements Effect {}

    /**
     * Deletes an object; the result is ignored.
     *
     * @param name the object's name
     */
    record DeleteObject(String name) implements Effect {}

    /**
     * Calls a worker; the answer goes to {@code workerAnswered}. A start is sent only if the ownership is still
     * confirmed immediately before it is sent.
     *
     * @param worker the worker's name
     * @param address its address
     * @param call the call
     */
    record CallWorker(String worker, String address, WorkerCall call) implements Effect {}

    /**
     * Answers a client.
     *
     * @param callId id of the client's call
     * @param answer the answer
     */
    record Answer(long callId, ClientAnswer answer) implements Effect {}

    /**
     * Logs a numbered event.
     *
     * @param number the event's number
     * @param message the message with its values
     */
    record Event(int number, String message) implements Effect {}
}
