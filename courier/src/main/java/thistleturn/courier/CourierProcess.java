package thistleturn.courier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.channels.spi.SelectorProvider;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.http.HttpCarrier;
import thistleturn.courier.http.HttpFront;
import thistleturn.courier.journal.Journal;
import thistleturn.courier.platform.Discovery;
import thistleturn.courier.platform.Notices;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Directory;
import thistleturn.courier.port.Ends;
import thistleturn.courier.port.Front;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Config;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.LoopTurns;

/**
 * A courier with its ports wired: one event loop that owns all state, a journal, a front, a carrier, a directory and
 * the telling of ends. It is started once and ended once; several can run in one Java machine.
 */
public final class CourierProcess {
    /** After SIGTERM new connections still come for up to 0.4 s. */
    private static final long LISTEN_MS = 550;
    /** When the process ends after SIGTERM: SIGKILL comes no sooner than 3.7 s after it. */
    private static final long STOP_MS = 3100;
    private static final long STOP_CHECK_MS = 20;
    /** What an extension has to take leave at least. */
    private static final long LEAVE_MS = 300;
    private static final long US_PER_MS = 1000;

    private final Clock clock = new Clock();
    private final LoopTurns turns = new LoopTurns(clock);
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
            NioIoHandler.newFactory(SelectorProvider.provider(), turns));
    private final EventLoop loop = group.next();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CompletableFuture<String> ready = new CompletableFuture<>();
    private final Map<String, String> environment;
    private final Extension extension;
    private final Journal journal;
    private final Config config;
    private Host host;
    private Front front;

    /** What an extension is given to work with. */
    public record Surroundings(Config config, EventLoop loop, Clock clock) { }

    /** A subsystem beside the platform's own; without one nothing of it is loaded. */
    public interface Extension {
        /** The directory that the courier follows: the platform's own, or one that merges it with others. */
        Directory directory(Directory own, Surroundings surroundings);

        /** The courier serves at that address from now on. Called on the event loop. */
        void ready(String address);

        /** The process ends soon; whoever knows of it may be told. Called on the event loop. */
        void stopping();

        /**
         * Nothing is held any more, or the time is up: takes leave of whoever knows of this courier. Called on the
         * event loop again and again until it is true that this is done.
         */
        boolean leave();

        /** The configuration is being read again; whatever the extension keeps in files of its own is, too. */
        void reload();
    }

    private static final class None implements Extension {
        @Override
        public Directory directory(final Directory own, final Surroundings surroundings) {
            return own;
        }

        @Override
        public void ready(final String address) {
            // Nobody else is told.
        }

        @Override
        public void stopping() {
            // Nobody else is told.
        }

        @Override
        public boolean leave() {
            return true;
        }

        @Override
        public void reload() {
            // It has nothing to read.
        }
    }

    private CourierProcess(final Map<String, String> environment, final Extension extension)
            throws Config.BadConfigException, IOException {
        this.environment = environment;
        this.extension = extension;
        this.config = Config.read(environment);
        this.journal = Journal.open(config.state(), config.diskBytes());
    }

    /**
     * Starts a courier with what the environment tells.
     *
     * @throws Config.BadConfigException if the configuration cannot be used; one line that names what is wrong
     * @throws IOException if the journal cannot be opened
     */
    public static CourierProcess start(final Map<String, String> environment)
            throws Config.BadConfigException, IOException {
        return start(environment, new None());
    }

    /** Starts a courier with a subsystem beside the platform's own. */
    public static CourierProcess start(final Map<String, String> environment, final Extension extension)
            throws Config.BadConfigException, IOException {
        final CourierProcess process = new CourierProcess(environment, extension);
        process.loop.execute(() -> {
            try {
                process.run();
            } catch (final IllegalArgumentException e) {
                // On the loop's thread this would be swallowed, and a courier left that is never ready.
                process.ready.completeExceptionally(e);
            }
        });
        return process;
    }

    /** The address at which it serves, or why it cannot. */
    public CompletableFuture<String> ready() {
        return ready;
    }

    /** The loop that owns all its state. */
    public EventLoop loop() {
        return loop;
    }

    private final class Ports implements Host.Wiring {
        @Override
        public Carrier carrier(final Carrier.Listener listener) {
            return new HttpCarrier(config, loop, clock, listener);
        }

        @Override
        public Ends ends(final Ends.Listener listener) {
            return new Notices(config.discovery(), loop, listener);
        }

        @Override
        public Directory directory() {
            return extension.directory(new Discovery(config, loop, clock), new Surroundings(config, loop, clock));
        }
    }

    /** Builds everything on the event loop, which owns it all from then on. */
    private void run() {
        host = new Host(config, loop, clock, journal, new Ports());
        front = new HttpFront(config, group, loop, clock, turns, host);
        host.start();
        front.listen().whenComplete((address, failure) -> {
            if (failure == null) {
                Log.info(config.name() + " is ready at " + address);
                extension.ready(address);
                ready.complete(address);
            } else {
                ready.completeExceptionally(new IOException(
                        "cannot listen on " + config.listen() + ": " + failure.getMessage(), failure));
            }
        });
    }

    /**
     * On SIGHUP: moves to the discovery that the file names now. One reading at a time, so that of two signals in a
     * row the later one's file counts. A file that cannot be used changes nothing.
     */
    public synchronized void reload() {
        try {
            final Config fresh = Config.read(environment);
            loop.execute(() -> {
                if (host != null) {
                    host.reload(fresh);
                }
            });
        } catch (final Config.BadConfigException e) {
            Log.info("SIGHUP: the configuration stays as it was: " + e.getMessage());
        }
        extension.reload();
    }

    /** On SIGTERM: goes on for a while, and leaves what is not done by then to the next process. Returns when done. */
    public void stop() {
        loop.execute(() -> {
            if (front == null) {
                stopped.countDown();
                return;
            }
            final long stopUs = clock.nowUs() + STOP_MS * US_PER_MS;
            front.drain();
            host.stopping(stopUs);
            extension.stopping();
            loop.schedule(() -> {
                front.stopListening();
                loop.scheduleWithFixedDelay(() -> {
                    final boolean due = host.idle() || clock.nowUs() >= stopUs - LEAVE_MS * US_PER_MS;
                    if (due && extension.leave() || clock.nowUs() >= stopUs) {
                        stopped.countDown();
                    }
                }, STOP_CHECK_MS, STOP_CHECK_MS, TimeUnit.MILLISECONDS);
            }, LISTEN_MS, TimeUnit.MILLISECONDS);
        });
        try {
            if (!stopped.await(STOP_MS + LISTEN_MS / 2, TimeUnit.MILLISECONDS)) {
                Log.info("the event loop did not stop in time");
            }
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Ends it at once, as a power cut would: connections break, and the folder stays as it is. For couriers that share
     * a Java machine with others; a process of its own is ended by its end.
     */
    public void kill() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        try {
            journal.close();
        } catch (final IOException e) {
            Log.failure("closing the journal", e);
        }
    }
}
