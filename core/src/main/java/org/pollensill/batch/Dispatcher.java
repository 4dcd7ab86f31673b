package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;

import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;

/**
 * Assigns queued tasks to workers: urgent tasks first, then by ascending weighted dominant share of the teams, within a
 * team by urgency and age.
 */
final class Dispatcher {

    private static final long ROUND_INTERVAL_NS = 100_000_000L;

    /** Limits the size of a group commit; the shares are recomputed in the next round. */
    private static final int MAX_STARTS_PER_ROUND = 100;

    /**
     * Number of jobs at the head of a team's queue that a round tries, and of further jobs that it tries in rotation.
     * Bounds the cost of a round regardless of the queue's length.
     */
    private static final int HEAD_JOBS_PER_TEAM = 64;

    /** No task is started while a commit takes longer than this, since its lease would begin late. */
    private static final long MAX_COMMIT_NS = 2_000_000_000L;

    /** Delay before a job that fits no host of the shard is stopped; hosts may be listed late. */
    private static final long OVERSIZED_TIMEOUT_NS = 60_000_000_000L;

    private static final long PREEMPTION_INTERVAL_NS = 1_500_000_000L;
    private static final long INITIAL_BACKOFF_NS = 1_000_000_000L;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private record TeamShare(String team, double weightedShare) {}

    private final ShardContext context;
    private final RunTable runs;
    private final Evictor evictor;
    private final PlacementPolicy policy;
    private final Map<String, Long> retryNotBeforeNs = new HashMap<>();
    private final Map<String, Long> oversizedSinceNs = new HashMap<>();
    private final Map<String, Job> lastRotatedJobs = new HashMap<>();
    private final Map<String, Long> lastPreemptionNs = new HashMap<>();
    private boolean hasRun;
    private long lastRoundNs;

    Dispatcher(ShardContext context, RunTable runs, Evictor evictor, PlacementPolicy policy) {
        this.context = context;
        this.runs = runs;
        this.evictor = evictor;
        this.policy = policy;
    }

    /** Delays the next attempt of a job by an exponential back-off with jitter. */
    void delayRetry(Job job, int failures, long nowNs) {
        long delayNs = INITIAL_BACKOFF_NS << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
        retryNotBeforeNs.put(job.id(), nowNs + delayNs / 2 + context.random.nextLong(delayNs));
    }

    void tick(long nowNs) {
        if (hasRun && nowNs - lastRoundNs < ROUND_INTERVAL_NS) {
            return;
        }
        hasRun = true;
        lastRoundNs = nowNs;
        if (!context.isConfirmed()) {
            setWaitReasons("ownership of the shard is not confirmed");
            return;
        }
        if (context.log.commitAgeNs(nowNs) > MAX_COMMIT_NS) {
            setWaitReasons("the store has not answered a commit for more than 2 s");
            return;
        }
        Round round = new Round(nowNs);
        round.run(true);
        round.run(false);
        removeStale(oversizedSinceNs);
        removeStale(retryNotBeforeNs);
        removeStale(lastPreemptionNs);
    }

    private void removeStale(Map<String, Long> timesByJob) {
        timesByJob
                .keySet()
                .removeIf(id -> context.state
                        .job(id)
                        .filter(job -> !job.queued().isEmpty())
                        .isEmpty());
    }

    private void setWaitReasons(String reason) {
        context.state.jobsWithQueuedTasks().values().forEach(jobs -> jobs.forEach(job -> job.waitsFor(reason)));
    }

    /** One scheduling round over the waiting jobs. */
    private final class Round {

        private final long nowNs;
        private final Resources total = context.pool.limit();
        private final Map<Resources, Boolean> fitsHost = new HashMap<>();
        private final Map<Resources, Boolean> fitsLimit = new HashMap<>();
        private final List<Resources> rejectedSizes = new ArrayList<>();
        private int starts;

        private Round(long nowNs) {
            this.nowNs = nowNs;
        }

        private void run(boolean urgentOnly) {
            PriorityQueue<TeamShare> teamsByShare = new PriorityQueue<>(
                    Comparator.comparingDouble(TeamShare::weightedShare).thenComparing(TeamShare::team));
            Map<String, List<Job>> waiting = new HashMap<>();
            Map<String, Integer> nextIndexes = new HashMap<>();
            context.state.jobsWithQueuedTasks().forEach((team, jobs) -> {
                List<Job> selected = selectJobs(team, jobs, urgentOnly);
                if (!selected.isEmpty()) {
                    waiting.put(team, selected);
                    teamsByShare.add(share(team));
                }
            });
            while (!teamsByShare.isEmpty() && starts < MAX_STARTS_PER_ROUND) {
                String team = teamsByShare.poll().team();
                List<Job> jobs = waiting.get(team);
                int index = nextIndexes.getOrDefault(team, 0);
                while (index < jobs.size() && !tryPlace(jobs.get(index))) {
                    index++;
                }
                nextIndexes.put(team, index);
                if (index < jobs.size()) {
                    teamsByShare.add(share(team));
                }
            }
        }

        /** Returns the jobs at the head of a team's queue and further ones that rotate from round to round. */
        private List<Job> selectJobs(String team, NavigableSet<Job> jobs, boolean urgentOnly) {
            List<Job> selected = new ArrayList<>();
            for (Job job : jobs) {
                if (job.spec().isUrgent() == urgentOnly) {
                    selected.add(job);
                }
                if (selected.size() == HEAD_JOBS_PER_TEAM
                        || urgentOnly && !job.spec().isUrgent()) {
                    break;
                }
            }
            if (urgentOnly || selected.size() < HEAD_JOBS_PER_TEAM) {
                return selected;
            }
            Job lastSelected = selected.get(selected.size() - 1);
            Job resumeAfter = lastRotatedJobs.getOrDefault(team, lastSelected);
            for (Job job : jobs.tailSet(resumeAfter, false)) {
                selected.add(job);
                if (selected.size() == 2 * HEAD_JOBS_PER_TEAM) {
                    lastRotatedJobs.put(team, job);
                    return selected;
                }
            }
            lastRotatedJobs.remove(team);
            return selected;
        }

        private boolean fitsHost(Resources size) {
            return fitsHost.computeIfAbsent(size, context.pool::fitsHost);
        }

        private boolean fitsLimit(Resources size) {
            return fitsLimit.computeIfAbsent(size, context.pool::fitsLimit);
        }

        private TeamShare share(String team) {
            double share = context.state.usage(team).dominantShare(total);
            return new TeamShare(team, share / context.settings.team(team).weight());
        }

        private boolean tryPlace(Job job) {
            if (job.state() != JobState.ACTIVE || job.queued().isEmpty()) {
                return false;
            }
            Long notBeforeNs = retryNotBeforeNs.get(job.id());
            if (notBeforeNs != null && nowNs - notBeforeNs < 0) {
                job.waitsFor("waits for the retry delay after a failure");
                return false;
            }
            JobSpec spec = job.spec();
            if (!fitsHost(spec.size())) {
                return handleOversized(job);
            }
            oversizedSinceNs.remove(job.id());
            Resources size = context.usage.estimate(spec.kind(), spec.size());
            if (!fitsLimit(size)) {
                size = spec.size();
            }
            if (!fitsLimit(size)) {
                job.waitsFor("needs " + describe(size) + ", more than the current batch share of any worker");
                return false;
            }
            Resources quota = context.settings.team(spec.team()).quota();
            if (!context.state.usage(spec.team()).plus(size).fitsIn(quota)) {
                job.waitsFor("team " + spec.team() + " uses " + describe(context.state.usage(spec.team()))
                        + " of its quota of " + describe(quota));
                return false;
            }
            return place(job, size);
        }

        private boolean place(Job job, Resources size) {
            JobSpec spec = job.spec();
            Set<String> avoided = Set.copyOf(job.failedOn());
            if (!avoided.isEmpty() && avoided.size() >= context.pool.workers().size()) {
                avoided = Set.of();
            }
            PlacementRequest request =
                    new PlacementRequest(job.id(), spec.kind(), size, spec.isUrgent(), avoided, nowNs);
            Optional<Worker> worker = Optional.empty();
            if (avoided.isEmpty() && rejectedSizes.stream().anyMatch(rejected -> rejected.fitsIn(size))) {
                job.waitsFor("no worker has enough free capacity for " + describe(size));
            } else {
                worker = policy.choose(request, context.pool, context.random);
            }
            Task task = job.queued().peekFirst();
            if (worker.isPresent()
                    && worker.get().capacity().tryAllocate(task.id().toString(), size)) {
                runs.place(task, worker.get(), size, nowNs);
                starts++;
                return true;
            }
            if (avoided.isEmpty() && !spec.isUrgent()) {
                rejectedSizes.add(size);
            }
            job.waitsFor("no worker has enough free capacity for " + describe(size));
            if (spec.isUrgent()) {
                preempt(job, request);
            }
            return false;
        }

        private void preempt(Job job, PlacementRequest request) {
            Long previousNs = lastPreemptionNs.get(job.id());
            if (previousNs != null && nowNs - previousNs < PREEMPTION_INTERVAL_NS) {
                return;
            }
            if (evictor.preemptFor(request, job.spec().urgency(), nowNs)) {
                lastPreemptionNs.put(job.id(), nowNs);
                job.waitsFor("less urgent tasks are being evicted to free capacity");
            } else {
                job.waitsFor(
                        "no worker has enough free capacity, and no less urgent task can be evicted within the eviction"
                                + " budget");
            }
        }

        private boolean handleOversized(Job job) {
            String reason = "needs " + describe(job.spec().size()) + ", more than any host of the shard has";
            job.waitsFor(reason);
            long since = oversizedSinceNs.computeIfAbsent(job.id(), id -> nowNs);
            if (!context.pool.workers().isEmpty() && nowNs - since >= OVERSIZED_TIMEOUT_NS) {
                context.event(3203, "job " + job.id() + " is stopped: " + reason);
                context.append(new LogRecord.JobEnded(job.id(), JobState.FAILED, reason));
            }
            return false;
        }
    }

    static String describe(Resources size) {
        return size.processorsMillicores() + " millicores, " + size.memoryBytes() + " bytes, " + size.accelerators()
                + " accelerators";
    }
}
