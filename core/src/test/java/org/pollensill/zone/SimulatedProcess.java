package org.pollensill.zone;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.pollensill.platform.Row;

/** A process of a {@link ZoneSimulation} whose clock runs at its own rate. */
final class SimulatedProcess {

    final MemberId id;
    final ZoneMember member;
    boolean killed;
    boolean leaving;

    private final ZoneSimulation simulation;
    private final double rate;
    private final long[] halfUntilNs;
    private final long[] fullUntilNs;
    private final Deque<Consumer<List<Effect>>> deferredSteps = new ArrayDeque<>();
    private long pausedUntilNs;
    private long epoch;
    private long lastHostListNs;

    SimulatedProcess(ZoneSimulation simulation, MemberId id, List<String> peers, double rate) {
        this.simulation = simulation;
        this.id = id;
        this.rate = rate;
        halfUntilNs = new long[simulation.slices];
        fullUntilNs = new long[simulation.slices];
        ZoneConfig config = new ZoneConfig(id, ZoneSimulation.KEY, simulation.slices, peers, ZoneTiming.standard());
        member = new ZoneMember(config, slice -> List.of(), clock());
    }

    long clock() {
        return (long) (simulation.nowNs * rate);
    }

    void kill() {
        simulation.traceEvent("kill " + this);
        killed = true;
    }

    void pause(long durationNs) {
        simulation.traceEvent("pause " + this + " for " + durationNs / ZoneSimulation.MS);
        pausedUntilNs = Math.max(pausedUntilNs, simulation.nowNs + durationNs);
        simulation.after(pausedUntilNs - simulation.nowNs, this::runDeferredSteps);
    }

    void resume() {
        pausedUntilNs = 0;
        runDeferredSteps();
    }

    private void runDeferredSteps() {
        while (!isPaused() && !deferredSteps.isEmpty()) {
            execute(deferredSteps.poll());
        }
    }

    void leave() {
        simulation.traceEvent("leave " + this);
        leaving = true;
        execute(effects -> member.leave());
    }

    boolean isPaused() {
        return simulation.nowNs < pausedUntilNs;
    }

    void tick() {
        execute(effects -> {
            if (simulation.nowNs - lastHostListNs > 2000 * ZoneSimulation.MS
                    && !simulation.isBlocked(id.name(), "store")) {
                lastHostListNs = simulation.nowNs;
                Set<String> names = simulation.live().stream()
                        .map(process -> process.id.name())
                        .collect(Collectors.toSet());
                simulation.after(
                        3000 * ZoneSimulation.MS, () -> execute(later -> member.updateHostList(names, clock())));
            }
            effects.addAll(member.tick(clock()));
            simulation.after(50 * ZoneSimulation.MS, this::tick);
        });
    }

    /** Executes a step of the process now, or after its pause. */
    void execute(Consumer<List<Effect>> step) {
        if (killed) {
            return;
        }
        if (isPaused()) {
            deferredSteps.add(step);
            return;
        }
        List<Effect> effects = new ArrayList<>();
        step.accept(effects);
        clearLostSlices();
        effects.forEach(this::perform);
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.ReadRow read) {
            simulation.read(this, read.readId());
        } else if (effect instanceof Effect.CommitView commit) {
            simulation.commit(this, commit.commit());
        } else if (effect instanceof Effect.SendHeartbeat send) {
            relay(send.address(), send.relay());
            simulation.send(
                    this,
                    send.address(),
                    (to, effects) -> effects.addAll(to.member.onHeartbeat(send.heartbeat(), to.clock())));
        } else if (effect instanceof Effect.SendReply send) {
            relay(send.to().address(), send.relay());
            simulation.send(this, send.to().address(), (to, effects) -> {
                if (to.id.equals(send.to())) {
                    to.member.onHeartbeatReply(send.reply(), to.clock());
                }
            });
        } else if (effect instanceof Effect.Log log) {
            simulation.traceEvent(this + " " + log.message());
        }
    }

    private void relay(String address, Optional<Row> relayed) {
        relayed.ifPresent(row -> simulation.send(
                this, address, (to, effects) -> effects.addAll(to.member.viewRelayed(row, to.clock()))));
    }

    Share share(int slice) {
        return isPaused() ? Share.NONE : member.share(slice, clock());
    }

    /** Records the share that an action may use if it checks the share now. */
    void sample() {
        if (isPaused()) {
            return;
        }
        for (int slice = 0; slice < simulation.slices; slice++) {
            Share share = share(slice);
            if (share != Share.NONE) {
                halfUntilNs[slice] = simulation.nowNs + ZoneSimulation.MAX_ACTION_DELAY_NS;
            }
            if (share == Share.FULL) {
                fullUntilNs[slice] = simulation.nowNs + ZoneSimulation.MAX_ACTION_DELAY_NS;
            }
        }
    }

    /** Clears the use of lost slices, because the releases sent with the view list the actions in progress there. */
    private void clearLostSlices() {
        long currentEpoch = member.view().map(ZoneView::epoch).orElse(0L);
        if (currentEpoch == epoch) {
            return;
        }
        epoch = currentEpoch;
        for (int slice = 0; slice < simulation.slices; slice++) {
            if (member.share(slice, clock()) == Share.NONE) {
                halfUntilNs[slice] = 0;
                fullUntilNs[slice] = 0;
            }
        }
    }

    int halvesInUse(int slice) {
        if (killed) {
            return 0;
        }
        if (simulation.nowNs <= fullUntilNs[slice]) {
            return 2;
        }
        return simulation.nowNs <= halfUntilNs[slice] ? 1 : 0;
    }

    @Override
    public String toString() {
        return id.name() + "/" + id.incarnation();
    }
}
