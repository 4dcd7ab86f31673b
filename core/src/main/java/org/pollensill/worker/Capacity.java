package org.pollensill.worker;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Total and allocated resources of a worker. New allocations must fit within the limit for batch tasks, which never
 * exceeds the host's total.
 */
public final class Capacity {

    private final Map<String, Resources> allocations = new HashMap<>();
    private Resources total;
    private Resources limit;
    private Resources allocated = Resources.NONE;

    private Capacity(Resources total) {
        this.total = total;
        this.limit = total;
    }

    /**
     * Returns the capacity of an empty worker.
     *
     * @param total the host's total resources
     * @return the capacity
     */
    public static Capacity of(Resources total) {
        return new Capacity(Objects.requireNonNull(total, "total is null"));
    }

    /**
     * Limits batch tasks to a part of the host. Existing allocations are kept.
     *
     * @param newLimit the limit; it is capped at the host's total
     */
    public void limitTo(Resources newLimit) {
        limit = Objects.requireNonNull(newLimit, "newLimit is null").min(total);
    }

    /**
     * Updates the host's total resources, such as after its replacement by another machine, and resets the limit to it.
     *
     * @param newTotal the host's total resources
     */
    public void resize(Resources newTotal) {
        total = Objects.requireNonNull(newTotal, "newTotal is null");
        limit = newTotal;
    }

    /**
     * Allocates an amount to a holder.
     *
     * @param holder identity of the holder
     * @param amount the amount
     * @return false if the amount does not fit or the holder has an allocation already
     */
    public boolean tryAllocate(String holder, Resources amount) {
        Objects.requireNonNull(holder, "holder is null");
        if (allocations.containsKey(holder) || !amount.fitsIn(free())) {
            return false;
        }
        record(holder, amount);
        return true;
    }

    /**
     * Records an allocation without a check of the limit, such as for a task adopted from a former owner.
     *
     * @param holder identity of the holder
     * @param amount the amount
     */
    public void record(String holder, Resources amount) {
        Objects.requireNonNull(amount, "amount is null");
        release(holder);
        allocations.put(holder, amount);
        allocated = allocated.plus(amount);
    }

    /**
     * Releases the allocation of a holder; has no effect if there is none.
     *
     * @param holder identity of the holder
     */
    public void release(String holder) {
        Resources amount = allocations.remove(Objects.requireNonNull(holder, "holder is null"));
        if (amount != null) {
            allocated = allocated.minus(amount);
        }
    }

    /**
     * Returns the host's total resources.
     *
     * @return the total
     */
    public Resources total() {
        return total;
    }

    /**
     * Returns the limit for batch tasks.
     *
     * @return the limit
     */
    public Resources limit() {
        return limit;
    }

    /**
     * Returns the allocated amount.
     *
     * @return the sum of all allocations
     */
    public Resources allocated() {
        return allocated;
    }

    /**
     * Returns the amount that can still be allocated.
     *
     * @return the free amount
     */
    public Resources free() {
        return limit.minus(allocated);
    }

    /**
     * Returns the number of holders.
     *
     * @return the number of holders
     */
    public int holders() {
        return allocations.size();
    }
}
