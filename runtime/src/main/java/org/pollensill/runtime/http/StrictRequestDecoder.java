package org.pollensill.runtime.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects requests with both Content-Length and chunked encoding: two parsers may delimit them differently. */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are present");
    }
}
