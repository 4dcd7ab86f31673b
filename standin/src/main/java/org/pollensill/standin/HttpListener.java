package org.pollensill.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.pollensill.runtime.net.EventLoops;

/** HTTP/1.1 server on one loopback port. */
final class HttpListener implements Closeable {

    private static final int MAX_BODY_BYTES = 64 << 20;

    /** Handles the requests of a port. */
    interface Handler {

        /**
         * Handles a request.
         *
         * @param exchange the request, answered synchronously or asynchronously
         * @throws IOException if the request is malformed
         */
        void handle(Exchange exchange) throws IOException;

        /**
         * Called when a connection is opened or closed.
         *
         * @param delta change in the number of open connections, 1 or -1
         */
        default void connectionCountChanged(int delta) {}
    }

    private final Channel server;
    private final ChannelGroup connections;
    private final Handler handler;
    private final InetSocketAddress address;

    private HttpListener(Channel server, ChannelGroup connections, Handler handler) {
        this.server = server;
        this.handler = handler;
        this.connections = connections;
        this.address = (InetSocketAddress) server.localAddress();
    }

    static HttpListener open(EventLoopGroup loops, int port, Handler handler) throws IOException {
        Objects.requireNonNull(handler, "handler is null");
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        ChannelFuture bound = new ServerBootstrap()
                .group(loops)
                .channel(EventLoops.serverChannel())
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                                .addLast(new ConnectionHandler(handler));
                    }
                })
                .bind("127.0.0.1", port)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on 127.0.0.1:" + port, bound.cause());
        }
        return new HttpListener(bound.channel(), connections, handler);
    }

    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    Handler handler() {
        return handler;
    }

    boolean isOpen() {
        return server.isOpen();
    }

    int port() {
        return address.getPort();
    }

    @Override
    public void close() {
        server.close().awaitUninterruptibly();
        connections.close();
    }

    private static final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Handler handler;

        ConnectionHandler(Handler handler) {
            this.handler = handler;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            handler.connectionCountChanged(1);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            handler.connectionCountChanged(-1);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Exchange exchange = new Exchange(ctx.channel(), request);
            if (!request.decoderResult().isSuccess()) {
                exchange.answer(400, "malformed request");
                return;
            }
            try {
                handler.handle(exchange);
            } catch (IOException | IllegalArgumentException e) {
                exchange.answer(400, String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
