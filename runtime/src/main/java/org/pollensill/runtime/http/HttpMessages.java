package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.pollensill.runtime.net.Addresses;

/** Converts between Netty's HTTP messages and the types of this package. */
final class HttpMessages {

    /** Hop-by-hop and framing headers, in lower case. They are not forwarded. */
    private static final Set<String> HOP_BY_HOP_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private HttpMessages() {}

    static Headers toHeaders(HttpHeaders headers) {
        List<Headers.Entry> entries = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> entry : headers) {
            if (!HOP_BY_HOP_HEADERS.contains(entry.getKey().toLowerCase(java.util.Locale.ROOT))) {
                entries.add(new Headers.Entry(entry.getKey(), entry.getValue()));
            }
        }
        return new Headers(entries);
    }

    static Request toRequest(FullHttpRequest message) {
        return new Request(
                message.method().name(),
                message.uri(),
                toHeaders(message.headers()),
                ByteBufUtil.getBytes(message.content()));
    }

    static Answer toResponse(FullHttpResponse message) {
        return new Answer(
                message.status().code(), toHeaders(message.headers()), ByteBufUtil.getBytes(message.content()));
    }

    static FullHttpResponse toNettyResponse(Answer response, boolean keepAlive) {
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(response.status()),
                Unpooled.wrappedBuffer(response.body()));
        copyEndToEnd(response.headers(), message.headers());
        if (response.status() != 204 && response.status() != 304) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
        }
        if (!keepAlive) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return message;
    }

    static FullHttpRequest toNettyRequest(Request request, InetSocketAddress address) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()));
        copyEndToEnd(request.headers(), message.headers());
        message.headers().set(HttpHeaderNames.HOST, Addresses.format(address));
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return message;
    }

    private static void copyEndToEnd(Headers from, HttpHeaders to) {
        for (Headers.Entry entry : from.entries()) {
            if (!HOP_BY_HOP_HEADERS.contains(entry.name().toLowerCase(java.util.Locale.ROOT))) {
                to.add(entry.name(), entry.value());
            }
        }
    }
}
