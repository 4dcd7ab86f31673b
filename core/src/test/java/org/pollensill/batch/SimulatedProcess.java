package org.pollensill.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/** A scheduler process with its daemon, which can be paused, killed and restarted. */
final class SimulatedProcess {

    private static final long CONFIRMATION_VALID_NS = 2_000 * Simulation.MS;
    private static final long TAKEOVER_DELAY_NS = 2_300 * Simulation.MS;

    private final Simulation simulation;
    private final int index;
    private final Set<String> pendingReports = new HashSet<>();
    private final List<Runnable> deferred = new ArrayList<>();
    private ShardOwner owner;
    private Ownership lastOwnership = Ownership.NONE;
    private int lastReadOwner = -1;
    private long lastViewReadNs;
    private int pollCount;
    boolean alive = true;
    boolean paused;
    int incarnation;
    long lastReadEpoch;

    SimulatedProcess(Simulation simulation, int index) {
        this.simulation = simulation;
        this.index = index;
        owner = newOwner();
    }

    private ShardOwner newOwner() {
        return ShardOwner.of(
                Simulation.PATH, "p" + index + "." + incarnation, new Random(simulation.random.nextLong()));
    }

    void kill() {
        alive = false;
        deferred.clear();
        simulation.checker.addTrace("process " + index + " is killed");
    }

    void restart() {
        alive = true;
        paused = false;
        incarnation++;
        owner = newOwner();
        lastOwnership = Ownership.NONE;
        lastReadOwner = -1;
        lastReadEpoch = 0;
        pendingReports.clear();
    }

    void resume() {
        paused = false;
        List<Runnable> due = new ArrayList<>(deferred);
        deferred.clear();
        due.forEach(Runnable::run);
    }

    /** Runs an action unless this incarnation has ended; a paused process runs it when it resumes. */
    private void runOrDefer(int expectedIncarnation, Runnable action) {
        if (!alive || incarnation != expectedIncarnation) {
            return;
        }
        if (paused) {
            deferred.add(() -> runOrDefer(expectedIncarnation, action));
        } else {
            action.run();
        }
    }

    void answer(Function<ShardOwner, List<Effect>> input) {
        runOrDefer(incarnation, () -> execute(input.apply(owner)));
    }

    void poll() {
        if (!alive || paused) {
            return;
        }
        if (pollCount++ % 4 == 0 && !simulation.storeDown) {
            lastReadEpoch = simulation.viewEpoch;
            lastReadOwner = simulation.viewOwner;
            lastViewReadNs = simulation.nowNs;
        }
        if (owner.isActive() && pollCount % 10 == 0) {
            owner.updateHosts(simulation.hosts());
            owner.updateSettings(simulation.settings);
        } else if (!owner.isActive()) {
            owner.updateHosts(simulation.hosts());
        }
        Ownership current = current();
        if (!current.equals(lastOwnership)) {
            lastOwnership = current;
            execute(owner.updateOwnership(simulation.nowNs, current));
        } else {
            execute(owner.tick(simulation.nowNs));
        }
        for (String name : owner.workers().keySet()) {
            if (pollCount % 10 == 0 && pendingReports.add(name)) {
                int requestedBy = incarnation;
                simulation.report(this, simulation.worker(name), () -> {
                    if (requestedBy == incarnation) {
                        pendingReports.remove(name);
                    }
                });
            }
        }
    }

    private Ownership current() {
        if (lastReadOwner != index) {
            return Ownership.NONE;
        }
        boolean cleared = simulation.isFormerCleared();
        boolean mustWait = !cleared && simulation.nowNs - simulation.viewChangedNs < TAKEOVER_DELAY_NS;
        if (mustWait) {
            return Ownership.NONE;
        }
        boolean confirmed = simulation.nowNs - lastViewReadNs < CONFIRMATION_VALID_NS;
        Ownership.State state = confirmed ? Ownership.State.CONFIRMED : Ownership.State.UNCONFIRMED;
        return new Ownership(state, lastReadEpoch, cleared && lastReadEpoch == simulation.viewEpoch);
    }

    /** Passes effects to the daemon, which sends them after a short delay or when it resumes. */
    private void execute(List<Effect> effects) {
        long emittedNs = simulation.nowNs;
        int emittedBy = incarnation;
        for (Effect effect : effects) {
            simulation.after(simulation.random.nextInt(5), () -> runOrDefer(emittedBy, () -> send(effect, emittedNs)));
        }
    }

    private void send(Effect effect, long emittedNs) {
        long nowNs = simulation.nowNs;
        if (effect instanceof Effect.Write write) {
            simulation.commit(this, write.commit());
        } else if (effect instanceof Effect.ReadHead) {
            boolean down = simulation.storeDown;
            simulation.after(
                    simulation.delayMs(),
                    () -> answer(shardOwner -> {
                        if (!down) {
                            return shardOwner.headRead(simulation.nowNs, simulation.store.head(Simulation.PATH));
                        }
                        shardOwner.headReadFailed(simulation.nowNs);
                        return List.of();
                    }));
        } else if (effect instanceof Effect.ReadShard) {
            boolean down = simulation.storeDown;
            ShardImage image = simulation.store.image(Simulation.PATH);
            simulation.after(
                    simulation.delayMs(),
                    () -> answer(shardOwner -> down
                            ? shardOwner.shardReadFailed(simulation.nowNs)
                            : shardOwner.shardRead(simulation.nowNs, image)));
        } else if (effect instanceof Effect.PutObject put) {
            simulation.store.objects.put(put.name(), put.content());
            answer(shardOwner -> {
                shardOwner.objectWritten(put.name(), true);
                return List.of();
            });
        } else if (effect instanceof Effect.DeleteObject delete) {
            simulation.store.objects.remove(delete.name());
        } else if (effect instanceof Effect.CallWorker call) {
            boolean allowed = current().state() == Ownership.State.CONFIRMED
                    && nowNs - emittedNs < simulation.settings.startWindowMs() * Simulation.MS;
            if (call.call() instanceof WorkerCall.Start && !allowed) {
                answer(shardOwner ->
                        shardOwner.workerAnswered(simulation.nowNs, call.call(), WorkerCall.Result.NOT_SENT));
            } else {
                simulation.callWorker(this, call);
            }
        } else if (effect instanceof Effect.Answer answer) {
            simulation.answered(answer.callId(), answer.answer());
        } else if (effect instanceof Effect.Event event) {
            simulation.checker.addTrace("p" + index + ": PLN-" + event.number() + " " + event.message());
        }
    }

    ShardOwner owner() {
        return owner;
    }
}
