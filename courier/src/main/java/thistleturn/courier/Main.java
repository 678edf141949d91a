package thistleturn.courier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Starts a real courier, has it read its configuration again on SIGHUP, and ends it in order on SIGTERM. */
public final class Main {
    /** After SIGTERM new connections still come for up to 0.4 s. */
    private static final long LISTEN_MS = 550;
    /** When the process ends after SIGTERM: SIGKILL comes no sooner than 3.7 s after it. */
    private static final long STOP_MS = 3100;
    private static final long STOP_CHECK_MS = 20;
    private static final long US_PER_MS = 1000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final Map<String, String> environment;
    private Host host;
    private Intake intake;

    private Main(final Map<String, String> environment) {
        this.environment = environment;
    }

    /** Runs a courier with what the environment tells, until it is ended. */
    public static void main(final String[] args) {
        try {
            start(System.getenv());
        } catch (final Config.BadConfigException | IOException e) {
            System.err.println("cannot start: " + e.getMessage());
            System.exit(1);
        }
    }

    static void start(final Map<String, String> environment) throws Config.BadConfigException, IOException {
        new Main(environment).start();
    }

    private void start() throws Config.BadConfigException, IOException {
        // First of all: until this is in place, a SIGHUP ends the process.
        Hangup.onSignal(this::reload);
        final Config config = Config.read(environment);
        final Journal journal = Journal.open(config.state(), config.diskBytes());
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
        loop.execute(() -> {
            try {
                run(config, journal);
            } catch (final IllegalArgumentException e) {
                // On the loop's thread this would be swallowed, and a courier left that is never ready.
                giveUp(e.getMessage());
            }
        });
    }

    private static void giveUp(final String reason) {
        System.err.println("cannot start: " + reason);
        Runtime.getRuntime().halt(1);
    }

    /** Builds everything on the event loop, which owns it all from then on. */
    private void run(final Config config, final Journal journal) {
        host = new Host(config, loop, clock, journal);
        intake = new Intake(config, clock, host);
        host.start();
        intake.listen(group, loop).addListener(bound -> {
            if (bound.isSuccess()) {
                Log.info(config.name() + " is ready at " + intake.address());
            } else {
                giveUp("cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
            }
        });
    }

    /**
     * On SIGHUP: moves to the discovery that the file names now. One reading at a time, so that of two signals in a
     * row the later one's file counts. A file that cannot be used changes nothing.
     */
    private synchronized void reload() {
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
    }

    /** On SIGTERM: goes on for a while, and leaves what is not done by then to the next process. */
    private void stop() {
        loop.execute(() -> {
            if (intake == null) {
                stopped.countDown();
                return;
            }
            final long stopUs = clock.nowUs() + STOP_MS * US_PER_MS;
            intake.drain();
            host.stopping(stopUs);
            loop.schedule(() -> {
                intake.stopListening();
                loop.scheduleWithFixedDelay(() -> {
                    if (host.idle() || clock.nowUs() >= stopUs) {
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
}
