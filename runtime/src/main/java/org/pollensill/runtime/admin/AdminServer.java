package org.pollensill.runtime.admin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;
import org.pollensill.runtime.http.HttpHandler;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;

/**
 * Admin endpoints of a process: {@code /healthz}, {@code /readyz}, {@code /metrics} and the routes that its components
 * register. The longest matching path prefix wins.
 */
public final class AdminServer implements HttpHandler {

    private final OperatorTokens tokens;
    private volatile List<Route> routes = List.of();
    private final List<Supplier<Optional<String>>> readinessChecks = new CopyOnWriteArrayList<>();

    private record Route(String method, String pathPrefix, Right right, AdminHandler handler) {

        boolean matches(Request request) {
            String path = request.path();
            return method.equals(request.method()) && (path.equals(pathPrefix) || path.startsWith(pathPrefix + "/"));
        }
    }

    /**
     * Creates the handler with the built-in routes.
     *
     * @param tokens the operators' bearer tokens
     * @param metrics the registry behind {@code /metrics}
     */
    public AdminServer(OperatorTokens tokens, PrometheusRegistry metrics) {
        this.tokens = Objects.requireNonNull(tokens, "tokens is null");
        route(
                "GET",
                "/healthz",
                Right.NONE,
                (operator, request, responder) -> responder.answer(Answer.text(200, "ok\n")));
        route("GET", "/readyz", Right.NONE, (operator, request, responder) -> responder.answer(readiness()));
        MetricsPage page = new MetricsPage(metrics);
        route("GET", MetricsPage.PATH, Right.NONE, (operator, request, responder) -> responder.answer(page.answer()));
    }

    /**
     * Adds a route.
     *
     * @param method the HTTP method
     * @param pathPrefix the path and all paths below it
     * @param right the right that the operator needs
     * @param handler handles the requests
     */
    public synchronized void route(String method, String pathPrefix, Right right, AdminHandler handler) {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(right, "right is null");
        Objects.requireNonNull(handler, "handler is null");
        List<Route> sorted = new ArrayList<>(routes);
        sorted.add(new Route(method, pathPrefix, right, handler));
        sorted.sort(Comparator.comparingInt((Route route) -> -route.pathPrefix().length()));
        // The list is immutable and replaced as a whole, because requests are served while routes are still registered.
        routes = List.copyOf(sorted);
    }

    /**
     * Adds a readiness check.
     *
     * @param check returns the reason why the process is not ready, empty if it is ready
     */
    public void readinessCheck(Supplier<Optional<String>> check) {
        readinessChecks.add(Objects.requireNonNull(check, "check is null"));
    }

    @Override
    public void handle(Request request, Responder responder) {
        for (Route route : routes) {
            if (route.matches(request)) {
                authorizeAndHandle(route, request, responder);
                return;
            }
        }
        responder.answer(Errors.answer(404, "unknown-path", "no admin endpoint at " + request.path(), ""));
    }

    private void authorizeAndHandle(Route route, Request request, Responder responder) {
        if (route.right() == Right.NONE) {
            route.handler().handle(Operator.ANONYMOUS, request, responder);
            return;
        }
        Optional<Operator> operator = tokens.operator(request);
        if (operator.isEmpty()) {
            responder.answer(Errors.answer(401, "token-required", "the bearer token is missing or unknown", ""));
            return;
        }
        if (!operator.get().rights().contains(route.right())) {
            responder.answer(Errors.answer(403, "right-missing", "the token lacks the right " + route.right(), ""));
            return;
        }
        route.handler().handle(operator.get(), request, responder);
    }

    private Answer readiness() {
        List<String> reasons = new ArrayList<>();
        for (Supplier<Optional<String>> check : readinessChecks) {
            check.get().ifPresent(reasons::add);
        }
        return reasons.isEmpty() ? Answer.text(200, "ready\n") : Answer.text(503, String.join("\n", reasons) + "\n");
    }
}
