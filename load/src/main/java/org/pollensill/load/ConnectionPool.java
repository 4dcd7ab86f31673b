package org.pollensill.load;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.pollensill.runtime.net.EventLoops;

/** Connection pool of one lane for one address, without pipelining. Confined to the event loop of the lane. */
final class ConnectionPool {

    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final long CONNECT_BACKOFF_NS = 250_000_000;
    private static final Pattern ERROR_TYPE = Pattern.compile("\"type\" *: *\"([^\"]*)\"");

    /** Receives the outcomes of attempts. */
    interface Listener {

        /**
         * Called when an attempt has ended.
         *
         * @param call the call
         * @param attempt the attempt number, which is outdated if the attempt has timed out
         * @param outcome the outcome
         * @param detail the reason stated in the answer
         */
        void attemptEnded(Call call, int attempt, Outcome outcome, String detail);

        /**
         * Called for a call that was not sent because the address accepts no connection.
         *
         * @param call the call
         */
        void connectionRefused(Call call);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int openConnections;
    private long backOffUntilNs;

    ConnectionPool(EventLoop loop, String address, int maxConnections, Listener listener) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        int colon = address.lastIndexOf(':');
        this.address =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        this.maxConnections = maxConnections;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(EventLoops.socketChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new HttpObjectAggregator(MAX_ANSWER_BYTES))
                                .addLast(new Connection());
                    }
                });
    }

    boolean isBackingOff(long nowNs) {
        return backOffUntilNs - nowNs > 0;
    }

    void send(Call call) {
        Connection connection = idle.pollLast();
        if (connection != null) {
            connection.send(call);
            return;
        }
        waiting.add(call);
        if (openConnections < maxConnections) {
            openConnections++;
            bootstrap.connect(address).addListener((ChannelFuture connected) -> onConnect(connected));
        }
    }

    private void onConnect(ChannelFuture connected) {
        if (connected.isSuccess()) {
            connected.channel().pipeline().get(Connection.class).sendNext();
            return;
        }
        openConnections--;
        backOffUntilNs = System.nanoTime() + CONNECT_BACKOFF_NS;
        // Calls not assigned to a connection were never sent, so they can be routed to another address.
        if (openConnections == 0) {
            Deque<Call> unsent = new ArrayDeque<>(waiting);
            waiting.clear();
            unsent.forEach(listener::connectionRefused);
        }
    }

    void closeAll() {
        idle.forEach(connection -> connection.channel.close());
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Channel channel;
        private Call call;
        private int attempt;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        /** Sends the oldest waiting call, or marks the connection idle if there is none. */
        void sendNext() {
            Call oldest = waiting.poll();
            while (oldest != null && !oldest.isOpen()) {
                oldest = waiting.poll();
            }
            if (oldest == null) {
                idle.add(this);
                return;
            }
            send(oldest);
        }

        void send(Call next) {
            call = next;
            attempt = next.markSent(channel);
            channel.writeAndFlush(request(next), channel.voidPromise());
        }

        private DefaultFullHttpRequest request(Call next) {
            LoadConfig.Kind kind = next.kind();
            byte[] body = "x".repeat(kind.bodyBytes()).getBytes(StandardCharsets.US_ASCII);
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/" + kind.service() + "/" + kind.name() + "/run?work=" + next.workId(),
                    Unpooled.wrappedBuffer(body));
            long waitedMs = (System.nanoTime() - next.attemptStartNs()) / 1_000_000;
            request.headers()
                    .set("Host", address.getHostString() + ":" + address.getPort())
                    .set("Content-Length", body.length)
                    .set("Pollensill-Kind", kind.name())
                    .set("Pollensill-Caller", next.caller())
                    .set("Pollensill-Idempotent", Boolean.toString(kind.idempotent()))
                    .set("Pollensill-Deadline-Ms", Math.max(1, kind.deadlineMs() - waitedMs));
            if (kind.keyed()) {
                request.headers().set("Idempotency-Key", next.workId());
            }
            return request;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call answered = call;
            call = null;
            if (answered != null) {
                listener.attemptEnded(answered, attempt, classify(answered, response), detail(response));
            }
            if (HttpUtil.isKeepAlive(response)
                    && answered != null
                    && ctx.channel().isActive()) {
                sendNext();
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openConnections--;
            idle.remove(this);
            if (call != null) {
                Call unanswered = call;
                call = null;
                listener.attemptEnded(unanswered, attempt, Outcome.NO_ANSWER, "connection closed");
            }
            if (!waiting.isEmpty() && openConnections < maxConnections) {
                loop.execute(() -> {
                    Call oldest = waiting.poll();
                    if (oldest != null && oldest.isOpen()) {
                        ConnectionPool.this.send(oldest);
                    }
                });
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Classifies an answer. A completed one has status 200, is not truncated and carries the work id of the call. */
    static Outcome classify(Call call, FullHttpResponse response) {
        String outcome = response.headers().get("Pollensill-Outcome", "");
        if (outcome.equals("not-run")) {
            return Outcome.NOT_RUN;
        }
        if (outcome.equals("unknown")) {
            return Outcome.UNKNOWN;
        }
        boolean valid = response.decoderResult().isSuccess()
                && response.status().code() == 200
                && response.content()
                        .toString(StandardCharsets.UTF_8)
                        .startsWith("{\"work\":\"" + call.workId() + "\"");
        return valid ? Outcome.COMPLETED : Outcome.WRONG_ANSWER;
    }

    /** Returns the status and, for an error, the type stated in the answer. */
    private static String detail(FullHttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return "200";
        }
        Matcher type = ERROR_TYPE.matcher(response.content().toString(StandardCharsets.UTF_8));
        return status + (type.find() ? " " + type.group(1) : "");
    }
}
