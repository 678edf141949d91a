package thistleturn.courier.platform;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;

/** Connections to the platform. */
final class Dial {
    private Dial() { }

    /**
     * Begins to connect, for a handler of HTTP's parts; {@code failed} is run if it does not come up. When to give up is the
     * caller's to say, not the channel's own timer: that would judge before the look that tells that it has come up.
     */
    static ChannelFuture connect(final EventLoop loop, final InetSocketAddress address, final ChannelHandler reader,
                                 final Runnable failed) {
        return new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(final Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), reader);
                    }
                }).connect(address).addListener(done -> {
                    if (!done.isSuccess()) {
                        failed.run();
                    }
                });
    }
}
