package org.pollensill.claim;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;

/**
 * Answer stored with a claim for replay to repeated requests.
 *
 * @param status the status code
 * @param headers the headers to replay
 * @param body the body, empty if it was not stored
 * @param bodyStored whether the body was small enough to be stored
 */
public record StoredAnswer(int status, Map<String, String> headers, byte[] body, boolean bodyStored) {

    /**
     * Creates an answer.
     *
     * @throws NullPointerException if an argument is null
     */
    public StoredAnswer {
        headers = Map.copyOf(Objects.requireNonNull(headers, "headers is null"));
        body = Objects.requireNonNull(body, "body is null").clone();
    }

    /**
     * Returns an answer that keeps its body only up to a size limit.
     *
     * @param status the status code
     * @param headers the headers
     * @param body the body
     * @param limitBytes maximum size of a body that is stored
     * @return the answer, without its body if that exceeds the limit
     */
    public static StoredAnswer of(int status, Map<String, String> headers, byte[] body, int limitBytes) {
        boolean stored = body.length <= limitBytes;
        return new StoredAnswer(status, headers, stored ? body : new byte[0], stored);
    }

    /**
     * Returns this answer without its body.
     *
     * @return the answer
     */
    public StoredAnswer withoutBody() {
        return new StoredAnswer(status, headers, new byte[0], false);
    }

    @Override
    public byte[] body() {
        return body.clone();
    }

    int bodyBytes() {
        return body.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredAnswer answer
                && status == answer.status
                && bodyStored == answer.bodyStored
                && headers.equals(answer.headers)
                && Arrays.equals(body, answer.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, headers, Arrays.hashCode(body), bodyStored);
    }
}
