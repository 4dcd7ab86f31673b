package org.pollensill.contract;

import java.util.Objects;

/** FIFO queue of the requests of one caller and kind. Removal of any element takes constant time. */
final class CallerQueue {

    final String caller;
    private PendingRequest head;
    private PendingRequest tail;
    private int size;

    CallerQueue(String caller) {
        this.caller = Objects.requireNonNull(caller, "caller is null");
    }

    int size() {
        return size;
    }

    PendingRequest first() {
        return head;
    }

    PendingRequest last() {
        return tail;
    }

    void addLast(PendingRequest request) {
        request.previous = tail;
        if (tail == null) {
            head = request;
        } else {
            tail.next = request;
        }
        tail = request;
        recordAdded(request);
    }

    void addFirst(PendingRequest request) {
        request.next = head;
        if (head == null) {
            tail = request;
        } else {
            head.previous = request;
        }
        head = request;
        recordAdded(request);
    }

    void remove(PendingRequest request) {
        if (request.previous == null) {
            head = request.next;
        } else {
            request.previous.next = request.next;
        }
        if (request.next == null) {
            tail = request.previous;
        } else {
            request.next.previous = request.previous;
        }
        request.previous = null;
        request.next = null;
        request.callerQueue = null;
        size--;
    }

    private void recordAdded(PendingRequest request) {
        request.callerQueue = this;
        size++;
    }
}
