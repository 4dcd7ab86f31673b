package org.pollensill.runtime.http;

import java.io.IOException;
import java.util.concurrent.CancellationException;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;

/** Runs the exchanges of one client connection. Its state belongs to the connection's event loop. */
final class ClientExchangeHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final int idleMs;
    private ChannelHandlerContext context;
    private ClientExchange current;
    private ConnectionPool pool;
    private ScheduledFuture<?> timeout;

    ClientExchangeHandler(int idleMs) {
        this.idleMs = idleMs;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    void start(ClientExchange exchange, ConnectionPool owner) {
        if (context.executor().inEventLoop()) {
            startInLoop(exchange, owner);
            return;
        }
        context.executor().execute(() -> startInLoop(exchange, owner));
    }

    private void startInLoop(ClientExchange exchange, ConnectionPool owner) {
        Channel channel = context.channel();
        pool = owner;
        cancelTimeout();
        long remainingMs = exchange.remainingMs();
        if (!channel.isActive()) {
            // The idle connection closed before the request was written, so another one may carry it.
            owner.run(exchange);
            return;
        }
        if (remainingMs <= 0) {
            exchange.fail(HttpException.Reason.TIMED_OUT, "no connection in time");
            becomeIdle();
            return;
        }
        if (!exchange.tryMarkSent()) {
            becomeIdle();
            return;
        }
        current = exchange;
        exchange.answer().whenComplete((answer, failure) -> {
            if (failure instanceof CancellationException) {
                context.executor().execute(() -> abandon(exchange));
            }
        });
        timeout = context.executor()
                .schedule(
                        () -> {
                            pool.closeIdle();
                            failAndClose(HttpException.Reason.TIMED_OUT, "no whole answer in time");
                        },
                        remainingMs,
                        TimeUnit.MILLISECONDS);
        channel.writeAndFlush(Messages.request(exchange.request(), exchange.address()))
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
            // An answer without a request can only be a late or surplus one.
            context.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            failAndClose(HttpException.Reason.INVALID_ANSWER, "malformed answer");
            return;
        }
        current = null;
        cancelTimeout();
        Answer answer = Messages.answer(message);
        if (!HttpUtil.isKeepAlive(message)) {
            context.close();
        }
        // The connection is given back first, so that a request sent from the callback can use it.
        if (context.channel().isActive()) {
            becomeIdle();
        }
        exchange.answer().complete(answer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) throws Exception {
        failAndClose(HttpException.Reason.CLOSED, "the connection closed before the whole answer");
        super.channelInactive(ignored);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        boolean closed = cause instanceof PrematureChannelClosureException || cause instanceof IOException;
        failAndClose(
                closed ? HttpException.Reason.CLOSED : HttpException.Reason.INVALID_ANSWER,
                String.valueOf(cause.getMessage()));
    }

    private void becomeIdle() {
        timeout = context.executor().schedule(() -> context.close(), idleMs, TimeUnit.MILLISECONDS);
        pool.release(context.channel());
    }

    private void failAndClose(HttpException.Reason reason, String problem) {
        cancelTimeout();
        ClientExchange exchange = current;
        current = null;
        context.close();
        if (exchange != null) {
            exchange.fail(reason, problem);
        }
    }

    private void abandon(ClientExchange exchange) {
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
}
