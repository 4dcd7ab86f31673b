package org.pollensill.contract;

import java.util.List;

/** Action that is run when a timer of a pool expires. */
@FunctionalInterface
interface Timeout {

    void expire(long nowNs, List<PoolEffect> effects);
}
