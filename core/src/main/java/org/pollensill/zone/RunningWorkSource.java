package org.pollensill.zone;

import java.util.List;

/** Supplies the work in progress in the slices of a daemon. */
@FunctionalInterface
public interface RunningWorkSource {

    /**
     * Lists the work in progress in a slice. A dispatch must be counted before its final check of the share, so that a
     * release sent after that check includes it.
     *
     * @param slice the slice's number
     * @return the work, including work that is still reserved on behalf of earlier owners
     */
    List<RunningWork> running(int slice);
}
