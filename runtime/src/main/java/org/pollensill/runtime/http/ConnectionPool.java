package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.pollensill.runtime.net.ConnectFailures;

/** Bounded pool of a client's connections to one address. One lock guards its state; it is never held during I/O. */
final class ConnectionPool {

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private final Deque<ClientExchange> queued = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;

    ConnectionPool(Bootstrap bootstrap, InetSocketAddress address, ClientLimits limits) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.limits = limits;
    }

    void run(ClientExchange exchange) {
        Optional<Channel> reused = Optional.empty();
        synchronized (this) {
            if (closed) {
                exchange.fail(HttpException.Reason.LIMIT_REACHED, "client is closed");
                return;
            }
            reused = pollIdle();
            if (reused.isEmpty() && openConnections >= limits.maxConnectionsPerAddress()) {
                if (queued.size() >= limits.maxQueuedPerAddress()) {
                    exchange.fail(HttpException.Reason.LIMIT_REACHED, "too many requests wait for a connection");
                    return;
                }
                queued.add(exchange);
                return;
            }
            if (reused.isEmpty()) {
                openConnections++;
            }
        }
        if (reused.isPresent()) {
            start(reused.get(), exchange);
            return;
        }
        connect(exchange);
    }

    private Optional<Channel> pollIdle() {
        Channel channel = idle.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = idle.pollLast();
        }
        return Optional.ofNullable(channel);
    }

    private void connect(ClientExchange exchange) {
        bootstrap.connect(address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connected.channel().closeFuture().addListener(ended -> connectionClosed());
                start(connected.channel(), exchange);
                return;
            }
            boolean refused = ConnectFailures.isRefused(connected.cause());
            exchange.fail(
                    refused ? HttpException.Reason.CONNECTION_REFUSED : HttpException.Reason.CONNECT_FAILED,
                    refused ? "connection refused" : "connection failed");
            connectionClosed();
        });
    }

    private void start(Channel channel, ClientExchange exchange) {
        channel.pipeline().get(ClientExchangeHandler.class).start(exchange, this);
    }

    /** Returns a connection to the pool after its response was read completely. */
    void release(Channel channel) {
        ClientExchange next;
        boolean close;
        synchronized (this) {
            next = queued.poll();
            close = closed && next == null;
            if (next == null && !closed) {
                idle.add(channel);
            }
        }
        if (next != null) {
            start(channel, next);
            return;
        }
        if (close) {
            channel.close();
        }
    }

    private void connectionClosed() {
        ClientExchange next;
        synchronized (this) {
            openConnections--;
            next = queued.poll();
            if (next != null) {
                openConnections++;
            }
        }
        if (next != null) {
            connect(next);
        }
    }

    /** Closes the idle connections. Called after a time-out, because they may be unresponsive for the same reason. */
    void closeIdle() {
        Deque<Channel> toClose;
        synchronized (this) {
            toClose = new ArrayDeque<>(idle);
            idle.clear();
        }
        toClose.forEach(Channel::close);
    }

    void close() {
        Deque<Channel> toClose;
        synchronized (this) {
            closed = true;
            toClose = new ArrayDeque<>(idle);
            idle.clear();
        }
        toClose.forEach(Channel::close);
    }
}
