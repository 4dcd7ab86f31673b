package org.pollensill.runtime.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;

/** Passes the requests of one connection to the handler, one at a time. */
final class ServerExchangeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** User event: complete the request in progress, then close the connection. */
    static final Object DRAIN_EVENT = new Object();

    private static final EventLog LOG = EventLog.of(ServerExchangeHandler.class);
    /** The connection is closed when more than this many pipelined requests are queued. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    /** Time that an idle connection stays open while draining, because a request may be in flight. */
    private static final int DRAIN_GRACE_MS = 300;

    private final HttpHandler handler;
    private final int requestTimeoutMs;
    private final Deque<FullHttpRequest> queued = new ArrayDeque<>();
    private ScheduledFuture<?> timeout;
    private Exchange current;
    private boolean draining;

    ServerExchangeHandler(HttpHandler handler, int requestTimeoutMs) {
        this.handler = handler;
        this.requestTimeoutMs = requestTimeoutMs;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        startTimeout(context);
        super.channelActive(context);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        if (current != null) {
            if (queued.size() >= MAX_PIPELINED_REQUESTS) {
                context.close();
                return;
            }
            queued.add(message.retain());
            context.channel().config().setAutoRead(false);
            return;
        }
        handleRequest(context, message);
    }

    private void handleRequest(ChannelHandlerContext context, FullHttpRequest message) {
        stopTimeout();
        if (message.decoderResult().isFailure()) {
            rejectMalformed(context, message);
            return;
        }
        Exchange exchange = new Exchange(context, HttpUtil.isKeepAlive(message));
        current = exchange;
        try {
            handler.handle(HttpMessages.toRequest(message), exchange);
        } catch (RuntimeException e) {
            LOG.log(RuntimeEvent.HANDLER_FAILED, e, new Object[] {"uri", message.uri()});
            exchange.answer(Errors.answer(500, "internal", "the request failed inside the server", ""));
        }
    }

    private void rejectMalformed(ChannelHandlerContext context, FullHttpRequest message) {
        Throwable cause = message.decoderResult().cause();
        LOG.log(RuntimeEvent.BAD_REQUEST, "problem", String.valueOf(cause.getMessage()));
        Answer response = Errors.answer(400, "malformed-request", String.valueOf(cause.getMessage()), "");
        context.writeAndFlush(HttpMessages.toNettyResponse(response.withHeader("Pollensill-Outcome", "not-run"), false))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void sendResponse(ChannelHandlerContext context, Exchange exchange, Answer response) {
        if (current != exchange) {
            return;
        }
        boolean keepAlive = exchange.keepAlive && !draining;
        current = null;
        context.writeAndFlush(HttpMessages.toNettyResponse(response, keepAlive)).addListener(written -> {
            if (!keepAlive || !written.isSuccess()) {
                context.close();
            }
        });
        if (!keepAlive) {
            return;
        }
        startTimeout(context);
        FullHttpRequest next = queued.poll();
        if (next == null) {
            return;
        }
        try {
            handleRequest(context, next);
        } finally {
            next.release();
        }
        if (queued.isEmpty()) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event == DRAIN_EVENT) {
            draining = true;
            context.executor().schedule(() -> closeIfIdle(context), DRAIN_GRACE_MS, TimeUnit.MILLISECONDS);
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        stopTimeout();
        queued.forEach(FullHttpRequest::release);
        queued.clear();
        if (current != null) {
            current.closed();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(RuntimeEvent.BAD_REQUEST, "problem", String.valueOf(cause.getMessage()));
        }
        context.close();
    }

    private void closeIfIdle(ChannelHandlerContext context) {
        if (current == null) {
            context.close();
        }
    }

    private void startTimeout(ChannelHandlerContext context) {
        stopTimeout();
        timeout = context.executor().schedule(() -> context.close(), requestTimeoutMs, TimeUnit.MILLISECONDS);
    }

    private void stopTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private final class Exchange implements Responder {

        private final ChannelHandlerContext context;
        private final boolean keepAlive;
        private final List<Runnable> closeActions = new ArrayList<>(1);
        private boolean closed;

        Exchange(ChannelHandlerContext context, boolean keepAlive) {
            this.context = context;
            this.keepAlive = keepAlive;
        }

        @Override
        public void answer(Answer response) {
            if (context.executor().inEventLoop()) {
                sendResponse(context, this, response);
                return;
            }
            context.executor().execute(() -> sendResponse(context, this, response));
        }

        @Override
        public void onClose(Runnable action) {
            synchronized (this) {
                if (!closed) {
                    closeActions.add(action);
                    return;
                }
            }
            action.run();
        }

        private void closed() {
            List<Runnable> actions;
            synchronized (this) {
                closed = true;
                actions = List.copyOf(closeActions);
            }
            actions.forEach(Runnable::run);
        }
    }
}
