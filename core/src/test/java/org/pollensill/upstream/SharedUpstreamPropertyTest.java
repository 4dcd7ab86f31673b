package org.pollensill.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against exceeding the limits of an upstream whose owner changes repeatedly. Owners are killed, release the
 * upstream, stay at half of its slots, or freeze; requests run for up to their execution bound.
 */
class SharedUpstreamPropertyTest {

    private static final KindLimits[] KINDS = {
        new KindLimits(8, 40), new KindLimits(3, 400), new KindLimits(2, 150),
    };

    private record Running(Owner owner, Slot slot, long endNs) {}

    /** One of successive owners; its predecessor is the latest one that has not released and is not confirmed dead. */
    private static final class Owner {
        private final SlotTable table = SlotTable.of(List.of(KINDS));
        private final Upstream upstream = table.add("u", 8, 64);
        private boolean alive = true;
        private boolean restricted;
    }

    private static final class Model {
        private final Random random;
        private final List<Running> running = new ArrayList<>();
        private final List<Owner> owners = new ArrayList<>();
        private long nowNs;

        Model(long seed) {
            random = new Random(seed);
            Owner owner = new Owner();
            owners.add(owner);
        }

        void step() {
            nowNs += random.nextInt(20);
            running.removeIf(this::completeIfDue);
            owners.forEach(owner -> owner.table.tick(nowNs));
            switch (random.nextInt(40)) {
                case 0 -> restrictNewest();
                case 1 -> addSuccessor();
                case 2 -> removeOldest(random.nextBoolean());
                default -> dispatch();
            }
            checkLimits();
        }

        private boolean completeIfDue(Running request) {
            if (request.endNs > nowNs) {
                return false;
            }
            if (request.owner.alive) {
                request.owner.table.release(request.slot);
            }
            return true;
        }

        private void dispatch() {
            for (Owner owner : owners) {
                int wanted = random.nextInt(9);
                for (int i = 0; owner.alive && i < wanted; i++) {
                    int kind = random.nextInt(KINDS.length);
                    long bound = KINDS[kind].executionBoundNs();
                    long endNs = nowNs + (random.nextBoolean() ? bound : random.nextLong(bound) + 1);
                    owner.table
                            .take(owner.upstream, kind, nowNs)
                            .ifPresent(slot -> running.add(new Running(owner, slot, endNs)));
                }
            }
        }

        private Owner newestOwner() {
            return owners.get(owners.size() - 1);
        }

        private void restrictNewest() {
            newestOwner().restricted = true;
            if (owners.size() < 3) {
                newestOwner().table.setAllowance(newestOwner().upstream, SlotAllowance.HALF);
            }
        }

        /** Adds a successor, only after the confirmation of its predecessor has lapsed. */
        private void addSuccessor() {
            if (!newestOwner().restricted || owners.size() == 3) {
                return;
            }
            Owner successor = new Owner();
            successor.table.reserveForFormerOwner(successor.upstream, nowNs);
            owners.add(successor);
            updateAllowances();
        }

        /** Removes the oldest owner, which releases its requests in progress or is killed and confirmed dead. */
        private void removeOldest(boolean releases) {
            if (owners.size() < 2) {
                return;
            }
            Owner removed = owners.remove(0);
            removed.alive = false;
            for (Owner owner : owners) {
                if (releases && owners.size() == 1) {
                    owner.table.clearReservations(owner.upstream);
                    for (int kind = 0; kind < KINDS.length; kind++) {
                        int kindIndex = kind;
                        int count = (int) running.stream()
                                .filter(request -> request.owner != owner && request.slot.kind() == kindIndex)
                                .count();
                        owner.table.reserve(owner.upstream, kind, count, nowNs + KINDS[kind].executionBoundNs());
                    }
                } else if (owner != owners.get(0) || owners.size() == 1) {
                    owner.table.reserveForFormerOwner(owner.upstream, nowNs);
                }
            }
            updateAllowances();
        }

        private void updateAllowances() {
            for (int i = 0; i < owners.size(); i++) {
                Owner owner = owners.get(i);
                SlotAllowance allowance = SlotAllowance.HALF;
                if (i == 2) {
                    allowance = SlotAllowance.NONE;
                } else if (i == 0 && owners.size() == 1 && !owner.restricted) {
                    allowance = SlotAllowance.FULL;
                }
                owner.table.setAllowance(owner.upstream, allowance);
            }
        }

        private void checkLimits() {
            assertTrue(running.size() <= 8, () -> running.size() + " requests run with " + owners.size() + " owners");
            for (int kind = 0; kind < KINDS.length; kind++) {
                int kindIndex = kind;
                long count = running.stream()
                        .filter(request -> request.slot.kind() == kindIndex)
                        .count();
                assertTrue(count <= KINDS[kind].slotsPerUpstreamCap(), () -> count + " of kind " + kindIndex);
            }
        }
    }

    @Property(tries = 400, seed = "20261204")
    void shouldNeverExceedUpstreamLimitsWhenOwnersChange(@ForAll long seed) {
        Model model = new Model(seed);
        for (int i = 0; i < 600; i++) {
            model.step();
        }
    }
}
