package org.pollensill.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * Rejects responses that are delimited only by the close of the connection, because a truncated response cannot be
 * distinguished from a complete one.
 */
final class ResponseFramingCheck extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpResponse response && !isDelimited(response)) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new UndelimitedResponseException());
            return;
        }
        super.channelRead(context, message);
    }

    private static boolean isDelimited(HttpResponse response) {
        int status = response.status().code();
        return status == 204
                || status == 304
                || status < 200
                || HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response);
    }

    private static final class UndelimitedResponseException extends Exception {

        private static final long serialVersionUID = 1L;

        UndelimitedResponseException() {
            super("the response has neither Content-Length nor chunked encoding");
        }
    }
}
