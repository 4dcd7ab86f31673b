package org.pollensill.coordinator.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import org.pollensill.coordinator.peer.wire.Frame;
import org.pollensill.coordinator.peer.wire.Hello;
import org.pollensill.coordinator.peer.wire.Ping;
import org.pollensill.runtime.net.ConnectFailures;
import org.pollensill.runtime.net.EventLoops;

/** Connection to one peer that reconnects after a loss. Its state is confined to the event loop. */
public final class PeerLink {

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final long PING_INTERVAL_MS = 300;
    /** Time without a frame after which the peer counts as unresponsive and the connection is replaced. */
    private static final long SILENCE_TIMEOUT_MS = 1_000;

    private static final long RECONNECT_DELAY_MS = 200;

    /** Receives changes of the peer. */
    public interface Listener {

        /**
         * Called when the peer has answered the handshake.
         *
         * @param incarnation the unique id of its process
         */
        void identified(String incarnation);

        /** Called when the connection is refused, because no process listens at the address. */
        void refused();

        /**
         * Called when the peer has released the leader lease.
         *
         * @param incarnation the unique id of its process
         */
        void released(String incarnation);
    }

    private final EventLoopGroup loops;
    private final InetSocketAddress address;
    private final String ownName;
    private final Listener listener;
    private final Map<Long, CompletableFuture<Frame>> pendingCalls = new HashMap<>();
    private Optional<Channel> channel = Optional.empty();
    private long nextCallId = 1;
    private long lastFrameMs;
    private boolean storeReachable;
    private boolean closed;

    private PeerLink(EventLoopGroup loops, InetSocketAddress address, String ownName, Listener listener) {
        this.loops = loops;
        this.address = address;
        this.ownName = ownName;
        this.listener = listener;
    }

    /**
     * Opens a link.
     *
     * @param loops the event loops
     * @param address the address of the peer
     * @param ownName the name of this machine
     * @param listener receives changes of the peer
     * @return the link
     */
    public static PeerLink open(EventLoopGroup loops, InetSocketAddress address, String ownName, Listener listener) {
        Objects.requireNonNull(address, "address is null");
        PeerLink link = new PeerLink(loops, address, ownName, Objects.requireNonNull(listener, "listener is null"));
        link.connect();
        return link;
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void connect() {
        if (closed) {
            return;
        }
        new Bootstrap()
                .group(loops)
                .channel(EventLoops.socketChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel socket) {
                        PeerFrames.addCodecs(socket.pipeline());
                        socket.pipeline().addLast(new ReplyHandler());
                    }
                })
                .connect(address)
                .addListener((ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        onConnected(connected.channel());
                        return;
                    }
                    if (ConnectFailures.isRefused(connected.cause()) && !closed) {
                        listener.refused();
                    }
                    scheduleReconnect();
                });
    }

    private void onConnected(Channel opened) {
        if (closed) {
            opened.close();
            return;
        }
        channel = Optional.of(opened);
        lastFrameMs = nowMs();
        opened.closeFuture().addListener(future -> onClosed(opened));
        call(Frame.newBuilder().setHello(Hello.newBuilder().setName(ownName)), SILENCE_TIMEOUT_MS)
                .whenComplete((reply, failure) -> {
                    if (failure == null) {
                        listener.identified(reply.getHelloReply().getIncarnation());
                    }
                });
        ping(opened);
    }

    private void ping(Channel opened) {
        if (closed || !opened.isActive()) {
            return;
        }
        if (nowMs() - lastFrameMs > SILENCE_TIMEOUT_MS) {
            opened.close();
            return;
        }
        call(Frame.newBuilder().setPing(Ping.getDefaultInstance()), SILENCE_TIMEOUT_MS)
                .whenComplete((reply, failure) -> {
                    if (failure == null) {
                        storeReachable = reply.getPong().getStoreReachable();
                    }
                });
        opened.eventLoop().schedule(() -> ping(opened), PING_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void onClosed(Channel closedChannel) {
        if (channel.isPresent() && channel.get() == closedChannel) {
            channel = Optional.empty();
            storeReachable = false;
            Map<Long, CompletableFuture<Frame>> unansweredCalls = new HashMap<>(pendingCalls);
            pendingCalls.clear();
            unansweredCalls
                    .values()
                    .forEach(call -> call.completeExceptionally(new TimeoutException("peer connection lost")));
            // Reconnects without delay: a refused connection shows early that the process has ended.
            connect();
        }
    }

    private void scheduleReconnect() {
        loops.next().schedule(this::connect, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Calls the peer.
     *
     * @param frame the call, without its id
     * @param timeoutMs the maximum time to the reply
     * @return the reply; fails if none arrives in time or the link is down
     */
    public CompletableFuture<Frame> call(Frame.Builder frame, long timeoutMs) {
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        if (channel.isEmpty() || !channel.get().isActive()) {
            reply.completeExceptionally(new TimeoutException("peer not connected"));
            return reply;
        }
        long callId = nextCallId++;
        pendingCalls.put(callId, reply);
        channel.get().writeAndFlush(frame.setCall(callId).build());
        channel.get()
                .eventLoop()
                .schedule(
                        () -> {
                            if (pendingCalls.remove(callId) != null) {
                                reply.completeExceptionally(new TimeoutException("no reply from the peer"));
                            }
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
        return reply;
    }

    /**
     * Returns whether the link is connected and the peer responds.
     *
     * @return whether the link is up
     */
    public boolean up() {
        return channel.isPresent() && nowMs() - lastFrameMs <= SILENCE_TIMEOUT_MS;
    }

    /**
     * Returns whether the peer reported in its last pong that it reaches the store.
     *
     * @return whether the peer can relay calls to the store
     */
    public boolean reachesStore() {
        return up() && storeReachable;
    }

    /** Closes the link; it does not reconnect. */
    public void close() {
        closed = true;
        channel.ifPresent(Channel::close);
    }

    private final class ReplyHandler extends SimpleChannelInboundHandler<Frame> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            lastFrameMs = nowMs();
            if (frame.getBodyCase() == Frame.BodyCase.RELEASED) {
                listener.released(frame.getReleased().getIncarnation());
                return;
            }
            CompletableFuture<Frame> call = pendingCalls.remove(frame.getCall());
            if (call != null) {
                call.complete(frame);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
