package org.pollensill.runtime.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.pollensill.runtime.net.EventLoops;

/**
 * HTTP/1.1 client with a bounded connection pool per address. A connection is reused only after its response was read
 * completely; a failed exchange closes it.
 */
public final class HttpClient {

    private final Bootstrap bootstrap;
    private final ClientLimits limits;
    private final Map<InetSocketAddress, ConnectionPool> pools = new ConcurrentHashMap<>();

    private HttpClient(Bootstrap bootstrap, ClientLimits limits) {
        this.bootstrap = bootstrap;
        this.limits = limits;
    }

    /**
     * Creates a client.
     *
     * @param loops the event loops
     * @param limits the limits
     * @return the client
     */
    public static HttpClient of(EventLoopGroup loops, ClientLimits limits) {
        Objects.requireNonNull(loops, "loops is null");
        Objects.requireNonNull(limits, "limits is null");
        Bootstrap bootstrap = new Bootstrap()
                .group(loops)
                .channel(EventLoops.socketChannel())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec())
                                .addLast(new ResponseFramingCheck())
                                .addLast(new HttpObjectAggregator(limits.maxResponseBytes(), true))
                                .addLast(new ClientExchangeHandler(limits.idleTimeoutMs()));
                    }
                });
        return new HttpClient(bootstrap, limits);
    }

    /**
     * Sends a request.
     *
     * @param address the server's address
     * @param request the request
     * @param timeoutMs maximum time from now to the end of the response
     * @return the complete response; fails with a {@link HttpException}
     */
    public CompletableFuture<Answer> send(InetSocketAddress address, Request request, long timeoutMs) {
        return send(address, request, timeoutMs, SendGuard.ALLOW);
    }

    /**
     * Sends a request if a guard allows it immediately before the write. Cancelling the result closes the connection.
     *
     * @param address the server's address
     * @param request the request
     * @param timeoutMs maximum time from now to the end of the response
     * @param guard decides whether the request may still be sent
     * @return the complete response; fails with a {@link HttpException}
     */
    public CompletableFuture<Answer> send(InetSocketAddress address, Request request, long timeoutMs, SendGuard guard) {
        Objects.requireNonNull(request, "request is null");
        Objects.requireNonNull(guard, "guard is null");
        return run(new ClientExchange(
                Objects.requireNonNull(address, "address is null"), connection -> request, timeoutMs, guard));
    }

    /**
     * Sends a request that depends on the connection that it is written to.
     *
     * @param address the server's address
     * @param request returns the request for a connection; called once, immediately before the write
     * @param timeoutMs maximum time from now to the end of the response
     * @param guard decides whether the request may still be sent
     * @return the complete response; fails with a {@link HttpException}
     */
    public CompletableFuture<Answer> send(
            InetSocketAddress address, Function<ClientConnection, Request> request, long timeoutMs, SendGuard guard) {
        return run(new ClientExchange(
                Objects.requireNonNull(address, "address is null"),
                Objects.requireNonNull(request, "request is null"),
                timeoutMs,
                Objects.requireNonNull(guard, "guard is null")));
    }

    private CompletableFuture<Answer> run(ClientExchange exchange) {
        pools.computeIfAbsent(exchange.address(), key -> new ConnectionPool(bootstrap, key, limits))
                .run(exchange);
        return exchange.response();
    }

    /**
     * Closes the idle connections to an address, which may have fallen silent.
     *
     * @param address the server's address
     */
    public void discardIdle(InetSocketAddress address) {
        ConnectionPool pool = pools.get(Objects.requireNonNull(address, "address is null"));
        if (pool != null) {
            pool.closeIdle();
        }
    }

    /** Closes all idle connections; connections in use are closed after their response. */
    public void close() {
        pools.values().forEach(ConnectionPool::close);
    }
}
