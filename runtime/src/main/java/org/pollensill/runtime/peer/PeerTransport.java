package org.pollensill.runtime.peer;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelGroupFuture;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.http.ListenException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.ConnectFailures;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.wire.Envelope;

/** Connections between the processes of a fleet: length-prefixed protobuf messages over TCP. */
public final class PeerTransport {

    private static final EventLog LOG = EventLog.of(PeerTransport.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long CLOSE_TIMEOUT_MS = 1_000;
    private static final int ACCEPT_BACKLOG = 256;

    private final EventLoopGroup loops;
    private final PeerIdentity self;
    private final FleetToken token;
    private final PeerHandler handler;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /**
     * Creates a transport.
     *
     * @param loops the event loops
     * @param self the identity of this process
     * @param token the fleet's shared secret
     * @param handler receives the connection events and messages
     */
    public PeerTransport(EventLoopGroup loops, PeerIdentity self, FleetToken token, PeerHandler handler) {
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.token = Objects.requireNonNull(token, "token is null");
        this.handler = Objects.requireNonNull(handler, "handler is null");
    }

    /**
     * Opens the peer listener. It stays open until {@link #close}, because peers treat a refused connection as proof
     * that the process has ended.
     *
     * @param address the address
     * @return the address with the actual port
     * @throws ListenException if the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) throws ListenException {
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(channelInitializer(() -> new ServerHandshakeHandler(self, token, handler)))
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new ListenException(Addresses.format(address));
        }
        channels.add(bound.channel());
        InetSocketAddress local = (InetSocketAddress) bound.channel().localAddress();
        LOG.log(RuntimeEvent.LISTENING, "peerAddress", Addresses.format(local));
        return local;
    }

    /**
     * Connects to a peer.
     *
     * @param address the address of the peer's listener
     * @return the established connection; fails with a {@link PeerException}
     */
    public CompletableFuture<PeerLink> connect(InetSocketAddress address) {
        CompletableFuture<PeerLink> established = new CompletableFuture<>();
        String addressText = Addresses.format(address);
        new Bootstrap()
                .group(loops)
                .channel(EventLoops.socketChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(channelInitializer(
                        () -> new ClientHandshakeHandler(self, token, handler, established, addressText)))
                .connect(address)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        boolean refused = ConnectFailures.isRefused(connected.cause());
                        established.completeExceptionally(new PeerException(
                                refused ? PeerException.Reason.REFUSED : PeerException.Reason.UNREACHABLE,
                                addressText));
                    }
                });
        return established;
    }

    /**
     * Closes the listener and all connections. Waits until they are closed, so that no peer can connect afterwards,
     * unless it is called on an event loop.
     */
    public void close() {
        ChannelGroupFuture closed = channels.close();
        for (EventExecutor loop : loops) {
            if (loop.inEventLoop()) {
                return;
            }
        }
        closed.awaitUninterruptibly(CLOSE_TIMEOUT_MS);
    }

    private ChannelInitializer<SocketChannel> channelInitializer(
            java.util.function.Supplier<PeerChannelHandler> handlerFactory) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channels.add(channel);
                channel.pipeline()
                        .addLast(new ProtobufVarint32FrameDecoder())
                        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                        .addLast(new ProtobufVarint32LengthFieldPrepender())
                        .addLast(new ProtobufEncoder())
                        .addLast(handlerFactory.get());
            }
        };
    }
}
