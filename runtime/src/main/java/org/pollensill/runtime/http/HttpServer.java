package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;

/** HTTP/1.1 server. Each connection has at most one request in progress. */
public final class HttpServer {

    private static final EventLog LOG = EventLog.of(HttpServer.class);
    private static final int ACCEPT_BACKLOG = 1024;

    private final Channel listener;
    private final ChannelGroup connections;

    private HttpServer(Channel listener, ChannelGroup connections) {
        this.listener = listener;
        this.connections = connections;
    }

    /**
     * Opens a listener.
     *
     * @param loops the event loops
     * @param address the address; port 0 selects a free port
     * @param limits the limits for requests
     * @param tls the TLS context, empty for unencrypted connections
     * @param handler handles the requests
     * @return the server
     * @throws ListenException if the address cannot be used
     */
    public static HttpServer listen(
            EventLoopGroup loops,
            InetSocketAddress address,
            HttpLimits limits,
            Optional<SslContext> tls,
            HttpHandler handler)
            throws ListenException {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(tls, "tls is null");
        Objects.requireNonNull(handler, "handler is null");
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
                        channel.pipeline()
                                .addLast(new StrictRequestDecoder(
                                        new HttpDecoderConfig().setMaxHeaderSize(limits.maxHeaderBytes())))
                                .addLast(new HttpResponseEncoder())
                                .addLast(new RequestAggregator(limits.maxBodyBytes()))
                                .addLast(new ServerExchangeHandler(handler, limits.requestTimeoutMs()));
                    }
                });
        Channel listener = bootstrap.bind(address).awaitUninterruptibly().channel();
        if (!listener.isActive()) {
            throw new ListenException(Addresses.format(address));
        }
        HttpServer server = new HttpServer(listener, connections);
        LOG.log(RuntimeEvent.LISTENING, "address", Addresses.format(server.address()));
        return server;
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Closes the listener and drains the connections: idle ones are closed after a short grace period, those with a
     * request in progress after the response.
     *
     * @return completes when all connections are closed
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        listener.close().addListener(closed -> {
            for (Channel connection : connections) {
                connection.pipeline().fireUserEventTriggered(ServerExchangeHandler.DRAIN_EVENT);
            }
            connections.newCloseFuture().addListener(done -> stopped.complete(null));
        });
        return stopped;
    }

    /** Closes the listener and all connections immediately. */
    public void close() {
        listener.close();
        connections.close();
    }
}
