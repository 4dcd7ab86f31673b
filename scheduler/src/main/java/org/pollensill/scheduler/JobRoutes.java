package org.pollensill.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.pollensill.batch.ClientAnswer;
import org.pollensill.batch.ClientCall;
import org.pollensill.batch.JobSpec;
import org.pollensill.batch.JobSpecException;
import org.pollensill.batch.JobSpecs;
import org.pollensill.batch.ShardPath;
import org.pollensill.batch.TaskId;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.Operator;
import org.pollensill.runtime.admin.Right;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;

/** Operators' calls for jobs and tasks. A call for a shard of another process names its owner. */
final class JobRoutes {

    private static final int DEFAULT_LIMIT = 100;
    private static final int MOST_JOBS = 1_000;

    private final List<ShardDriver> shards;
    private final ShardOwnership ownership;

    JobRoutes(List<ShardDriver> shards, ShardOwnership ownership) {
        this.shards = List.copyOf(Objects.requireNonNull(shards, "shards is null"));
        this.ownership = Objects.requireNonNull(ownership, "ownership is null");
    }

    void addTo(AdminServer admin) {
        admin.route("POST", "/jobs", Right.CHANGE, this::post);
        admin.route("GET", "/jobs", Right.READ, this::get);
        admin.route("GET", "/tasks", Right.READ, this::explain);
        admin.route("GET", "/shards", Right.READ, this::listShards);
    }

    private void post(Operator operator, Request request, Responder responder) {
        String path = request.path();
        if (path.equals("/jobs")) {
            submit(request, responder);
        } else if (path.startsWith("/jobs/") && path.endsWith("/cancel")) {
            String id = path.substring("/jobs/".length(), path.length() - "/cancel".length());
            call(shardOfJob(id), new ClientCall.Cancel(id, "cancelled by " + operator.name()), responder);
        } else {
            responder.answer(Errors.answer(404, "unknown-path", "no operators' call at " + path, ""));
        }
    }

    private void submit(Request request, Responder responder) {
        try {
            JobSpec spec = JobSpecs.parse(new String(request.body(), StandardCharsets.UTF_8));
            ClientCall call = new ClientCall.Submit(spec, System.currentTimeMillis());
            call(Optional.of(ShardPath.shardOf(spec)), call, responder);
        } catch (JobSpecException e) {
            responder.answer(JobJson.invalid(e));
        }
    }

    private void get(Operator operator, Request request, Responder responder) {
        String path = request.path();
        if (path.equals("/jobs")) {
            list(request, responder);
            return;
        }
        String id = path.substring("/jobs/".length());
        call(shardOfJob(id), new ClientCall.Show(id), responder);
    }

    private void explain(Operator operator, Request request, Responder responder) {
        String text = request.path().substring(Math.min(request.path().length(), "/tasks/".length()));
        Optional<TaskId> task = TaskId.parse(text);
        if (task.isEmpty()) {
            responder.answer(Errors.answer(404, "not-found", "no task has the identity '" + text + "'", ""));
            return;
        }
        call(shardOfJob(task.get().jobId()), new ClientCall.Explain(task.get()), responder);
    }

    private void listShards(Operator operator, Request request, Responder responder) {
        ArrayNode all = JobJson.MAPPER.createArrayNode();
        for (int shard = 0; shard < shards.size(); shard++) {
            ObjectNode node = all.addObject().put("shard", shard);
            node.put("owned", shards.get(shard).isActive());
            node.put("owner", ownership.ownerAddress(shard).orElse(""));
        }
        responder.answer(JobJson.json(200, JobJson.MAPPER.createObjectNode().set("shards", all)));
    }

    private void list(Request request, Responder responder) {
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        String team = query.parameters().getOrDefault("team", List.of("")).get(0);
        int limit = DEFAULT_LIMIT;
        try {
            List<String> given = query.parameters().getOrDefault("limit", List.of());
            limit = given.isEmpty() ? DEFAULT_LIMIT : Math.min(MOST_JOBS, Integer.parseInt(given.get(0)));
        } catch (NumberFormatException e) {
            responder.answer(Errors.answer(400, "bad-request", "limit is no number", ""));
            return;
        }
        List<CompletableFuture<ClientAnswer>> answers = new ArrayList<>();
        for (ShardDriver shard : shards) {
            if (shard.isActive()) {
                answers.add(shard.client(new ClientCall.ListJobs(team, limit)));
            }
        }
        CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0])).thenRun(() -> {
            ObjectNode body = JobJson.MAPPER.createObjectNode().put("shards", answers.size());
            ArrayNode jobs = body.putArray("jobs");
            for (CompletableFuture<ClientAnswer> answer : answers) {
                if (answer.join() instanceof ClientAnswer.Listed listed) {
                    listed.jobs().forEach(job -> jobs.add(JobJson.job(job)));
                }
            }
            responder.answer(JobJson.json(200, body));
        });
    }

    private Optional<Integer> shardOfJob(String id) {
        int dash = id.indexOf('-');
        if (dash < 2 || id.charAt(0) != 'j') {
            return Optional.empty();
        }
        try {
            int shard = Integer.parseInt(id.substring(1, dash));
            return shard >= 0 && shard < shards.size() ? Optional.of(shard) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private void call(Optional<Integer> shard, ClientCall call, Responder responder) {
        if (shard.isEmpty()) {
            responder.answer(Errors.answer(404, "not-found", "no job has this identity", ""));
            return;
        }
        ShardDriver driver = shards.get(shard.get());
        if (!driver.isActive()) {
            responder.answer(otherOwner(shard.get()));
            return;
        }
        driver.client(call).thenAccept(answer -> responder.answer(JobJson.answer(answer)));
    }

    private Answer otherOwner(int shard) {
        Optional<String> owner = ownership.ownerAddress(shard);
        if (owner.isEmpty()) {
            return Errors.answer(503, "not-run", "shard " + shard + " has no owner now", "")
                    .withHeader("Retry-After", "1");
        }
        return Errors.answer(421, "other-owner", "shard " + shard + " is owned by the process at " + owner.get(), "")
                .withHeader("Pollensill-Owner", owner.get());
    }
}
