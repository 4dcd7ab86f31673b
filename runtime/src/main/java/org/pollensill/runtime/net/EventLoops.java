package org.pollensill.runtime.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Factory of event loops: epoll if the host supports it, otherwise Java NIO. */
public final class EventLoops {

    private EventLoops() {}

    /**
     * Creates an event loop group.
     *
     * @param threads the number of threads
     * @return the group
     */
    public static EventLoopGroup of(int threads) {
        DefaultThreadFactory threadFactory = new DefaultThreadFactory("io", true);
        return new MultiThreadIoEventLoopGroup(
                threads, threadFactory, Epoll.isAvailable() ? EpollIoHandler.newFactory() : NioIoHandler.newFactory());
    }

    /**
     * Returns the server channel class that matches the groups of {@link #of}.
     *
     * @return the class
     */
    public static Class<? extends ServerChannel> serverChannel() {
        return Epoll.isAvailable() ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the socket channel class that matches the groups of {@link #of}.
     *
     * @return the class
     */
    public static Class<? extends SocketChannel> socketChannel() {
        return Epoll.isAvailable() ? EpollSocketChannel.class : NioSocketChannel.class;
    }
}
