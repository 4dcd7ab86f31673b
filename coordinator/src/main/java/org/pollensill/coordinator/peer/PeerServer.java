package org.pollensill.coordinator.peer;

import java.net.InetSocketAddress;
import java.util.Objects;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.pollensill.coordinator.peer.wire.Frame;
import org.pollensill.coordinator.peer.wire.HelloReply;
import org.pollensill.coordinator.peer.wire.JobReply;
import org.pollensill.coordinator.peer.wire.MemoryReply;
import org.pollensill.coordinator.peer.wire.Pong;
import org.pollensill.coordinator.peer.wire.Released;
import org.pollensill.runtime.http.ListenException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;

/** Server for connections of other coordinators. */
public final class PeerServer {

    private final Channel listener;
    private final ChannelGroup connections;

    private PeerServer(Channel listener, ChannelGroup connections) {
        this.listener = listener;
        this.connections = connections;
    }

    /**
     * Opens the listener.
     *
     * @param loops the event loops
     * @param address the listen address
     * @param name the name of this machine
     * @param incarnation the unique id of this process
     * @param service handles the calls
     * @return the server
     * @throws ListenException if the listener cannot be bound to the address
     */
    public static PeerServer listen(
            EventLoopGroup loops, InetSocketAddress address, String name, String incarnation, PeerService service)
            throws ListenException {
        Objects.requireNonNull(service, "service is null");
        HelloReply identity = HelloReply.newBuilder()
                .setName(name)
                .setIncarnation(incarnation)
                .build();
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        Channel listener = new ServerBootstrap()
                .group(loops)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        PeerFrames.addCodecs(channel.pipeline());
                        channel.pipeline().addLast(new CallHandler(identity, service));
                    }
                })
                .bind(address)
                .awaitUninterruptibly()
                .channel();
        if (!listener.isActive()) {
            throw new ListenException(Addresses.format(address));
        }
        return new PeerServer(listener, connections);
    }

    /**
     * Notifies all connected peers that this process has released the leader lease.
     *
     * @param incarnation the unique id of this process
     */
    public void announceRelease(String incarnation) {
        Released released = Released.newBuilder().setIncarnation(incarnation).build();
        connections.writeAndFlush(Frame.newBuilder().setReleased(released).build());
    }

    /** Closes the listener and all connections. */
    public void close() {
        listener.close();
        connections.close();
    }

    private static final class CallHandler extends SimpleChannelInboundHandler<Frame> {

        private final HelloReply identity;
        private final PeerService service;

        private CallHandler(HelloReply identity, PeerService service) {
            this.identity = identity;
            this.service = service;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            Frame.Builder reply = Frame.newBuilder().setCall(frame.getCall());
            switch (frame.getBodyCase()) {
                case HELLO:
                    context.writeAndFlush(reply.setHelloReply(identity).build());
                    return;
                case PING:
                    Pong pong = Pong.newBuilder()
                            .setStoreReachable(service.storeReachable())
                            .build();
                    context.writeAndFlush(reply.setPong(pong).build());
                    return;
                case JOB_QUERY:
                    String status = service.jobStatus(frame.getJobQuery().getJobId())
                            .map(Enum::name)
                            .orElse("");
                    context.writeAndFlush(
                            reply.setJobReply(JobReply.newBuilder().setStatus(status))
                                    .build());
                    return;
                case MEMORY_QUERY:
                    boolean granted = service.grantMemory(
                            frame.getMemoryQuery().getJobId(),
                            frame.getMemoryQuery().getBytes());
                    context.writeAndFlush(
                            reply.setMemoryReply(MemoryReply.newBuilder().setGranted(granted))
                                    .build());
                    return;
                case STORE_CALL:
                    service.callStore(frame.getStoreCall())
                            .thenAccept(answer -> context.writeAndFlush(
                                    reply.setStoreReply(answer).build()));
                    return;
                case CONFIG_QUERY:
                    service.configuration(frame.getConfigQuery())
                            .thenAccept(answer -> context.writeAndFlush(
                                    reply.setConfigReply(answer).build()));
                    return;
                default:
                // Ignores an unknown message of a later version; the call times out at its sender.
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
