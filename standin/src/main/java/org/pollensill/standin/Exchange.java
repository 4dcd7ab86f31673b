package org.pollensill.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/** An HTTP request that can be answered asynchronously from any thread, truncated or closed without an answer. */
final class Exchange {

    static final JsonMapper JSON = new JsonMapper();

    private final Channel channel;
    private final String method;
    private final QueryStringDecoder uri;
    private final Map<String, String> headers = new HashMap<>();
    private final byte[] body;
    private final boolean keepAlive;

    Exchange(Channel channel, FullHttpRequest request) {
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.method = request.method().name();
        this.uri = new QueryStringDecoder(request.uri());
        request.headers().forEach(header -> headers.put(header.getKey().toLowerCase(), header.getValue()));
        this.body = ByteBufUtil.getBytes(request.content());
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    String method() {
        return method;
    }

    String path() {
        return uri.path();
    }

    /** Returns a query parameter, or the empty string if it is absent. */
    String parameter(String name) {
        List<String> values = uri.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    /** Returns a header by its lower-case name, or the empty string if it is absent. */
    String header(String lowerCaseName) {
        return headers.getOrDefault(lowerCaseName, "");
    }

    byte[] body() {
        return body;
    }

    JsonNode json() throws IOException {
        return JSON.readTree(body);
    }

    boolean isConnected() {
        return channel.isActive();
    }

    void schedule(double delayMs, Runnable action) {
        channel.eventLoop().schedule(action, (long) (delayMs * 1e6), TimeUnit.NANOSECONDS);
    }

    void answer(int status, Object value) {
        try {
            answer(status, Map.of("content-type", "application/json"), JSON.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the answer to JSON", e);
        }
    }

    void answer(int status, String message) {
        answer(status, Map.of("content-type", "text/plain"), (message + "\n").getBytes(StandardCharsets.UTF_8));
    }

    void answer(int status, Map<String, String> answerHeaders, byte[] content) {
        DefaultFullHttpResponse response = response(status, answerHeaders, content, content.length);
        boolean close =
                !keepAlive || "close".equalsIgnoreCase(response.headers().get(HttpHeaderNames.CONNECTION));
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        channel.writeAndFlush(response, channel.voidPromise());
    }

    /** Sends the headers and the first half of the body, then closes the connection. */
    void answerTruncated(int status, Map<String, String> answerHeaders, byte[] content) {
        byte[] half = java.util.Arrays.copyOf(content, content.length / 2);
        channel.writeAndFlush(response(status, answerHeaders, half, content.length))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without an answer. */
    void closeWithoutAnswer() {
        channel.close();
    }

    private static DefaultFullHttpResponse response(
            int status, Map<String, String> answerHeaders, byte[] content, int contentLengthBytes) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
        answerHeaders.forEach((name, value) -> response.headers().set(name, value));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentLengthBytes);
        return response;
    }
}
