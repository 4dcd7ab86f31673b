package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRequest;
import org.pollensill.job.TaskName;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.leader.CommitChain;
import org.pollensill.leader.LeaderRow;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.runner.HoldOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runner.StartOrder;

/** A leading coordinator over the simulated store and network. It learns only from its commits that it was deposed. */
final class SimulatedLeader implements Orders {

    private static final String ROW = "leader/lease";
    private static final String PROGRESS = "progress/";

    private final SimulatedWorld world;
    private final long fence;
    private final CommitChain chain;
    private final Dispatcher dispatcher;
    private Optional<Batch> inFlight = Optional.empty();
    private boolean waiting;
    private long confirmedMs;
    boolean deposed;
    long pauseEndMs;

    private SimulatedLeader(SimulatedWorld world, CommitChain chain, long formerUnconfirmedMs) {
        this.world = world;
        this.chain = chain;
        this.fence = chain.row().fence();
        this.dispatcher =
                Dispatcher.takeOver(fence, world.nowMs(), formerUnconfirmedMs, PROGRESS, this, new QuietListener());
        this.confirmedMs = world.nowMs();
    }

    /** Takes the lease from whoever holds it, by the row alone. */
    static SimulatedLeader takeOver(SimulatedWorld world, String name, List<JobRequest> jobs)
            throws JsonSyntaxException {
        Optional<Row> present = world.store.read(ROW);
        long former =
                present.isPresent() ? LeaderRow.decode(present.get().value()).fence() : 0;
        LeaderRow candidate = new LeaderRow(name, name + former, "", former + 1, 0, false, Map.of());
        CommitChain chain =
                CommitChain.campaign(ROW, candidate, present.map(Row::version).orElse(0L));
        chain.begin(Map.of(), false, List.of());
        chain.onOutcome(world.store.commit(chain.current()));
        SimulatedLeader leader = new SimulatedLeader(world, chain, former == 0 ? 0 : Dispatcher.unconfirmedHoldMs());
        leader.dispatcher.setCatalogue(Samples.catalogue(2));
        for (JobRequest job : jobs) {
            Optional<Row> row = world.store.read(PROGRESS + job.id());
            leader.dispatcher.addJob(
                    job,
                    row.isPresent()
                            ? Optional.of(JobCodec.decodeRecord(row.get().value()))
                            : Optional.empty(),
                    world.nowMs());
        }
        leader.dispatcher.begin();
        return leader;
    }

    boolean active() {
        return !deposed && world.nowMs() >= pauseEndMs;
    }

    void step(List<RunnerEntry> listed) {
        if (!active()) {
            return;
        }
        dispatcher.updateRunners(listed, world.nowMs());
        boolean mayExtend = world.nowMs() - confirmedMs < Dispatcher.unconfirmedHoldMs();
        dispatcher.tick(world.nowMs(), world.nowMs(), mayExtend);
        if (waiting) {
            return;
        }
        inFlight = dispatcher.plan(world.nowMs());
        chain.begin(Map.of(), false, inFlight.map(Batch::writes).orElseGet(ArrayList::new));
        send();
    }

    private void send() {
        waiting = true;
        long sentMs = world.nowMs();
        world.callStore(chain.current(), outcome -> whenActive(() -> settle(chain.onOutcome(outcome), sentMs)), () -> {
            whenActive(() -> settle(chain.onFailure(PlatformException.Effect.UNKNOWN), sentMs));
        });
    }

    private void whenActive(Runnable action) {
        if (deposed) {
            return;
        }
        if (world.nowMs() < pauseEndMs) {
            world.after(pauseEndMs - world.nowMs(), () -> whenActive(action));
            return;
        }
        action.run();
    }

    private void settle(CommitChain.Next next, long sentMs) {
        switch (next) {
            case COMMITTED:
                waiting = false;
                confirmedMs = sentMs;
                inFlight.ifPresent(batch -> dispatcher.committed(batch, world.nowMs()));
                return;
            case READ_ROW:
                long readMs = world.nowMs();
                world.after(5, () -> whenActive(() -> settle(chain.onRow(world.store.read(ROW)), readMs)));
                return;
            case REPEAT:
                world.after(20, () -> whenActive(this::send));
                return;
            default:
                deposed = true;
        }
    }

    @Override
    public void start(RunnerAddress to, StartOrder order) {
        world.order(
                to.id(),
                runner -> runner.start(order, world.nowMs()),
                answer -> whenActive(
                        () -> dispatcher.onStart(order.task(), order.run(), to.id(), answer, world.nowMs())));
    }

    @Override
    public void stop(RunnerAddress to, TaskName task, int run) {
        world.order(
                to.id(),
                runner -> runner.stop(task, run, fence, world.nowMs()),
                answer -> whenActive(() -> dispatcher.onStop(task, run, to.id(), answer, world.nowMs())));
    }

    @Override
    public void hold(RunnerAddress to, HoldOrder order, long sequence) {
        world.hold(
                to.id(),
                runner -> runner.hold(order, world.nowMs()),
                answer -> whenActive(() -> dispatcher.onHold(to.id(), sequence, answer, world.nowMs())));
    }

    @Override
    public void pace(RunnerAddress to, TaskName task, int run, int percent) {}

    boolean allDone(List<JobRequest> jobs) {
        for (JobRequest job : jobs) {
            if (dispatcher.status(job.id()).isEmpty()
                    || !dispatcher.status(job.id()).get().isFinal()) {
                return false;
            }
        }
        return true;
    }

    /** What the store answers to a commit. */
    interface Outcome {
        void accept(CommitOutcome outcome);
    }
}
