package org.pollensill.runtime.http;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;

/** Runs the exchanges of one client connection. Its state is confined to the connection's event loop. */
final class ClientExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final int idleTimeoutMs;
    private final ClientConnection connection = new IdentifiedConnection();
    private ChannelHandlerContext context;
    private ClientExchange current;
    private ConnectionPool pool;
    private ScheduledFuture<?> timeout;

    ClientExchangeHandler(int idleTimeoutMs) {
        this.idleTimeoutMs = idleTimeoutMs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext handlerContext) {
        context = handlerContext;
    }

    void start(ClientExchange exchange, ConnectionPool connectionPool) {
        if (context.executor().inEventLoop()) {
            startOnEventLoop(exchange, connectionPool);
            return;
        }
        context.executor().execute(() -> startOnEventLoop(exchange, connectionPool));
    }

    private void startOnEventLoop(ClientExchange exchange, ConnectionPool connectionPool) {
        Channel channel = context.channel();
        pool = connectionPool;
        cancelTimeout();
        long remainingMs = exchange.remainingMs();
        if (!channel.isActive()) {
            // The idle connection was closed before the request was written, so the request is safe on another one.
            connectionPool.run(exchange);
            return;
        }
        if (remainingMs <= 0) {
            exchange.fail(HttpException.Reason.TIMED_OUT, "no connection within the request timeout");
            releaseConnection();
            return;
        }
        if (!exchange.tryMarkSent()) {
            releaseConnection();
            return;
        }
        current = exchange;
        exchange.response().whenComplete((response, failure) -> {
            if (failure instanceof CancellationException) {
                context.executor().execute(() -> closeIfCurrent(exchange));
            }
        });
        timeout = context.executor()
                .schedule(
                        () -> {
                            pool.closeIdle();
                            failAndClose(
                                    HttpException.Reason.TIMED_OUT, "no complete response within the request timeout");
                        },
                        remainingMs,
                        TimeUnit.MILLISECONDS);
        channel.writeAndFlush(HttpMessages.toNettyRequest(exchange.requestFor(connection), exchange.address()))
                .addListener(written -> {
                    if (!written.isSuccess()) {
                        failAndClose(HttpException.Reason.CLOSED, "the request could not be written");
                    }
                });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ignored, FullHttpResponse message) {
        ClientExchange exchange = current;
        if (exchange == null) {
            // A response without an outstanding request is late or unsolicited.
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            failAndClose(HttpException.Reason.INVALID_ANSWER, "malformed response");
            return;
        }
        current = null;
        cancelTimeout();
        Answer response = HttpMessages.toResponse(message);
        if (!HttpUtil.isKeepAlive(message)) {
            context.close();
        }
        // The connection is released first, so that a request sent from the callback can reuse it.
        if (context.channel().isActive()) {
            releaseConnection();
        }
        exchange.response().complete(response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) throws Exception {
        failAndClose(HttpException.Reason.CLOSED, "the connection closed before the response was complete");
        super.channelInactive(ignored);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        boolean closed = cause instanceof PrematureChannelClosureException || cause instanceof IOException;
        failAndClose(
                closed ? HttpException.Reason.CLOSED : HttpException.Reason.INVALID_ANSWER,
                String.valueOf(cause.getMessage()));
    }

    private void releaseConnection() {
        timeout = context.executor().schedule(() -> context.close(), idleTimeoutMs, TimeUnit.MILLISECONDS);
        pool.release(context.channel());
    }

    private void failAndClose(HttpException.Reason reason, String message) {
        cancelTimeout();
        ClientExchange exchange = current;
        current = null;
        context.close();
        if (exchange != null) {
            exchange.fail(reason, message);
        }
    }

    private void closeIfCurrent(ClientExchange exchange) {
        if (current == exchange) {
            failAndClose(HttpException.Reason.CLOSED, "the exchange was cancelled");
        }
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private static final class IdentifiedConnection implements ClientConnection {

        private Optional<String> peer = Optional.empty();

        @Override
        public Optional<String> peer() {
            return peer;
        }

        @Override
        public void identifyPeer(String identity) {
            peer = Optional.of(identity);
        }
    }
}
