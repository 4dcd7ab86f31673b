package org.pollensill.runtime.http;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Aggregates the parts of a request and rejects an oversized request with a typed error. */
final class RequestAggregator extends HttpObjectAggregator {

    private final int maxBodyBytes;

    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        Answer response = Errors.answer(413, "body-too-large", "the body exceeds " + maxBodyBytes + " bytes", "");
        context.writeAndFlush(HttpMessages.toNettyResponse(response, false)).addListener(ChannelFutureListener.CLOSE);
    }
}
