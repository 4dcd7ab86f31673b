package org.pollensill.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.Request;
import org.pollensill.settings.Effective;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.Place;
import org.pollensill.settings.SettingsTree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against treating a non-idempotent request as idempotent, and against invalid input reaching an upstream. */
class CallerRequestReaderTest {

    private static final String SETTINGS = """
            {"defaults": {"services": {"pad-desk": {"deadlineMs": 900, "maxBodyBytes": 64, "kinds": {
                "pad-match": {"idempotent": true, "deadlineMs": 300},
                "order-run": {"idempotent": false},
                "reprice": {}}}}}}
            """;

    private final CallerRequestReader reader = new CallerRequestReader(() -> "r1");

    private static Effective settings() throws InvalidSettingsException {
        return SettingsTree.parse(SETTINGS).effective(new Place("", ""), 0);
    }

    private CallerRequest read(String method, String uri, byte[] body, String... headers) throws Exception {
        Headers all = new Headers(List.of());
        for (int i = 0; i < headers.length; i += 2) {
            all = all.with(headers[i], headers[i + 1]);
        }
        return reader.read(new Request(method, uri, all, body), settings(), 0);
    }

    @Nested
    class IdempotentRequests {

        @ParameterizedTest
        @CsvSource({
            "GET,  reprice,   '',    true",
            "PUT,  reprice,   '',    true",
            "POST, reprice,   '',    false",
            "PATCH, reprice,  '',    false",
            "POST, pad-match, '',    true",
            "GET,  order-run, '',    false",
            "POST, reprice,   true,  true",
            "GET,  reprice,   false, false",
            "POST, order-run, true,  true",
            "POST, unnamed,   '',    false"
        })
        void shouldFollowHeaderThenSettingThenMethod(String method, String kind, String header, boolean idempotent)
                throws Exception {
            CallerRequest request = header.isEmpty()
                    ? read(method, "/pad-desk/" + kind + "/1", new byte[0])
                    : read(method, "/pad-desk/" + kind + "/1", new byte[0], "Pollensill-Idempotent", header);
            assertEquals(idempotent, request.description().idempotent());
        }
    }

    @Nested
    class KeyedRequests {

        /** A retry of a request with a key could run it twice although the caller requires at most one run. */
        @Test
        void shouldNotBeIdempotentWhenKindIsIdempotent() throws Exception {
            CallerRequest request = read("GET", "/pad-desk/pad-match/1", new byte[0], "Idempotency-Key", "key-1");
            assertEquals(false, request.description().idempotent());
        }
    }

    @Nested
    class BadRequests {

        @ParameterizedTest
        @CsvSource({
            "/,                     Host, a,                        404",
            "/pad-desk,             Host, a,                        404",
            "//pad-match/1,         Host, a,                        404",
            "/nope/pad-match/1,     Host, a,                        404",
            "/pad-desk/pad-match/1, Pollensill-Deadline-Ms, soon,   400",
            "/pad-desk/pad-match/1, Pollensill-Deadline-Ms, 0,      400",
            "/pad-desk/pad-match/1, Pollensill-Deadline-Ms, -5,     400",
            "/pad-desk/pad-match/1, Pollensill-Idempotent, yes,     400",
            "/pad-desk/pad-match/1, Idempotency-Key, '',            400"
        })
        void shouldRefuseWithMatchingStatus(String uri, String header, String value, int status) {
            BadRequestException refusal =
                    assertThrows(BadRequestException.class, () -> read("GET", uri, new byte[0], header, value));
            assertEquals(status, refusal.status());
        }

        @Test
        void shouldRefuseBodyAboveServiceLimit() {
            BadRequestException refusal =
                    assertThrows(BadRequestException.class, () -> read("POST", "/pad-desk/order-run/1", new byte[65]));
            assertEquals(413, refusal.status());
        }
    }

    @Nested
    class Deadlines {

        @ParameterizedTest
        @CsvSource({"pad-match, '', 300", "order-run, '', 900", "unnamed, '', 900", "pad-match, 50, 50"})
        void shouldFollowHeaderThenKindThenService(String kind, String header, long deadlineMs) throws Exception {
            CallerRequest request = header.isEmpty()
                    ? read("GET", "/pad-desk/" + kind + "/1", new byte[0])
                    : read("GET", "/pad-desk/" + kind + "/1", new byte[0], "Pollensill-Deadline-Ms", header);
            assertEquals(
                    deadlineMs * 1_000_000, request.description().deadline().atNs());
        }

        @Test
        void shouldKeepIdempotencyKey() throws Exception {
            CallerRequest request = read("POST", "/pad-desk/order-run/1", new byte[0], "Idempotency-Key", " key-1 ");
            assertEquals(Optional.of("key-1"), request.idempotencyKey());
        }
    }
}
