package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.pollensill.runtime.net.ConnectFailures;

/** Connections of a client to one address. One lock guards the lists; it is never held over I/O. */
final class ConnectionPool {

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final ClientLimits limits;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private final Deque<ClientExchange> waiting = new ArrayDeque<>();
    private int connections;
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
            reused = takeIdle();
            if (reused.isEmpty() && connections >= limits.connectionsPerAddress()) {
                if (waiting.size() >= limits.waitingPerAddress()) {
                    exchange.fail(HttpException.Reason.LIMIT_REACHED, "too many requests wait for a connection");
                    return;
                }
                waiting.add(exchange);
                return;
            }
            if (reused.isEmpty()) {
                connections++;
            }
        }
        if (reused.isPresent()) {
            start(reused.get(), exchange);
            return;
        }
        connect(exchange);
    }

    private Optional<Channel> takeIdle() {
        Channel channel = idle.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = idle.pollLast();
        }
        return Optional.ofNullable(channel);
    }

    private void connect(ClientExchange exchange) {
        bootstrap.connect(address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                connected.channel().closeFuture().addListener(ended -> connectionEnded());
                start(connected.channel(), exchange);
                return;
            }
            boolean refused = ConnectFailures.isRefused(connected.cause());
            exchange.fail(
                    refused ? HttpException.Reason.CONNECTION_REFUSED : HttpException.Reason.CONNECT_FAILED,
                    refused ? "connection refused" : "connection failed");
            connectionEnded();
        });
    }

    private void start(Channel channel, ClientExchange exchange) {
        channel.pipeline().get(ClientExchangeHandler.class).start(exchange, this);
    }

    /** Takes back a connection whose answer was read to the end. */
    void release(Channel channel) {
        ClientExchange next;
        boolean close;
        synchronized (this) {
            next = waiting.poll();
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

    private void connectionEnded() {
        ClientExchange next;
        synchronized (this) {
            connections--;
            next = waiting.poll();
            if (next != null) {
                connections++;
            }
        }
        if (next != null) {
            connect(next);
        }
    }

    /** Closes the idle connections, which may have fallen silent together with one that timed out. */
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
