package org.pollensill.entry;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.pollensill.contract.Deadline;
import org.pollensill.contract.KindContract;
import org.pollensill.contract.RequestDescription;
import org.pollensill.contract.ServiceContract;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.Request;
import org.pollensill.settings.Effective;

/**
 * Reads callers' requests: service and kind from the path {@code /<service>/<kind>/...}, the rest from headers, the
 * kind's contract and the method, in this order.
 */
final class CallerRequestReader {

    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE");
    private static final int MAX_KEY_LENGTH = 128;
    private static final String ANONYMOUS = "anonymous";

    private final Supplier<String> requestIds;

    CallerRequestReader(Supplier<String> requestIds) {
        this.requestIds = requestIds;
    }

    CallerRequest read(Request request, Effective settings, long nowNs) throws BadRequestException {
        String[] path = request.path().split("/", 4);
        if (path.length < 3 || path[1].isEmpty() || path[2].isEmpty()) {
            throw new BadRequestException(404, "unknown-path", "the path must be /<service>/<kind>/...");
        }
        ServiceContract contract = settings.service(path[1])
                .orElseThrow(() -> new BadRequestException(404, "unknown-service", "no service " + path[1]));
        if (request.body().length > contract.maxBodyBytes()) {
            throw new BadRequestException(
                    413, "body-too-large", "the body exceeds " + contract.maxBodyBytes() + " bytes");
        }
        Headers headers = request.headers();
        String kindName = headers.get("Pollensill-Kind").orElse(path[2]);
        Optional<KindContract> kind = contract.kind(kindName);
        long deadlineMs = deadlineMs(headers, kind.map(KindContract::deadlineMs).orElse(contract.deadlineMs()));
        Optional<String> key = key(headers);
        String requestId = requestIds.get();
        RequestDescription description = new RequestDescription(
                requestId,
                kindName,
                caller(headers),
                // An idempotency key requires at most one run, so neither retries nor hedges, even for an idempotent
                // kind.
                key.isEmpty() && isIdempotent(request, settings, contract.service(), kindName),
                Deadline.after(nowNs, deadlineMs));
        return new CallerRequest(contract.service(), description, key, request);
    }

    private static long deadlineMs(Headers headers, long defaultMs) throws BadRequestException {
        Optional<String> text = headers.get("Pollensill-Deadline-Ms");
        if (text.isEmpty()) {
            return defaultMs;
        }
        try {
            long deadlineMs = Long.parseLong(text.get().strip());
            if (deadlineMs > 0) {
                return deadlineMs;
            }
        } catch (NumberFormatException e) {
            // Reported below, like numbers that are not positive.
        }
        throw new BadRequestException(
                400, "bad-deadline", "Pollensill-Deadline-Ms must be a positive number, not " + text.get());
    }

    private static boolean isIdempotent(Request request, Effective settings, String service, String kind)
            throws BadRequestException {
        Optional<String> header = request.headers().get("Pollensill-Idempotent");
        if (header.isPresent()) {
            return switch (header.get()) {
                case "true" -> true;
                case "false" -> false;
                default ->
                    throw new BadRequestException(400, "bad-idempotent", "Pollensill-Idempotent must be true or false");
            };
        }
        return settings.idempotent(service, kind).orElseGet(() -> IDEMPOTENT_METHODS.contains(request.method()));
    }

    private static String caller(Headers headers) throws BadRequestException {
        String caller = headers.get("Pollensill-Caller").map(String::strip).orElse(ANONYMOUS);
        if (caller.isEmpty() || caller.length() > MAX_KEY_LENGTH) {
            throw new BadRequestException(
                    400, "bad-caller", "Pollensill-Caller must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return caller;
    }

    private static Optional<String> key(Headers headers) throws BadRequestException {
        Optional<String> key = headers.get("Idempotency-Key").map(String::strip);
        if (key.isPresent() && (key.get().isEmpty() || key.get().length() > MAX_KEY_LENGTH)) {
            throw new BadRequestException(
                    400, "bad-key", "Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return key;
    }
}
