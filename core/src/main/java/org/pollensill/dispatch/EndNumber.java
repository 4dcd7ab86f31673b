package org.pollensill.dispatch;

/**
 * Number of an ended run. The numbers begin anew in each incarnation of a runner.
 *
 * @param incarnationStartMs the incarnation that lists the end, as Unix time in milliseconds
 * @param number the number
 */
record EndNumber(long incarnationStartMs, long number) {

    /** Returns the later one of two numbers; that of another incarnation is later than this one. */
    EndNumber latest(EndNumber other) {
        boolean otherIsLater = other.incarnationStartMs != incarnationStartMs || other.number > number;
        return otherIsLater ? other : this;
    }
}
