package thistleturn.courier;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.handover.Heir;
import thistleturn.courier.handover.Inheritance;
import thistleturn.courier.handover.Predecessor;
import thistleturn.courier.handover.Wire;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Directory;
import thistleturn.courier.port.Ends;
import thistleturn.courier.port.Front;
import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store;
import thistleturn.courier.port.Way;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.Config;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.MessageClass;

/**
 * A takeover with made-up messages that go nowhere, before the real one: while a newer process
 * takes over, clients wait, and code that has run before is some times as quick as code that has
 * not. Everything is kept in memory, and forgotten.
 */
final class Practice {
  private static final int ROUNDS = 4;
  private static final int MESSAGES = 60;
  private static final int ENDPOINTS = 6;
  private static final int DESTINATIONS = 3;

  /** How long a round's calls may take to come to their ends. */
  private static final long ROUND_MS = 25;

  private static final long LIFE_US = 10_000_000;

  private final Config config;
  private final EventLoop loop;
  private final Clock clock;

  Practice(final Config config, final EventLoop loop, final Clock clock) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
  }

  /** Practises, then goes on with what is given. Runs on the event loop. */
  void run(final Runnable then) {
    Log.mute(true);
    round(
        0,
        () -> {
          Log.mute(false);
          then.run();
        });
  }

  private void round(final int number, final Runnable then) {
    if (number == ROUNDS) {
      then.run();
      return;
    }
    final Pages pages = new Pages();
    final Host elder = new Host(config, loop, clock, pages, new Nowhere());
    elder.start();
    for (int message = 0; message < MESSAGES; message++) {
      final MessageClass kind =
          config.settings().classes().get(message % config.settings().classes().size());
      final long nowUs = clock.nowUs();
      final Held held =
          new Held(
              "practice-" + message,
              kind.name(),
              "key-" + message,
              message % DESTINATIONS,
              nowUs + LIFE_US,
              new byte[message]);
      held.began(new Way(nowUs, nowUs, nowUs, nowUs + LIFE_US));
      elder.offer(held, nowUs + LIFE_US, new Unheard());
    }
    loop.schedule(
        () -> {
          try {
            final Inheritance inheritance = Wire.copy(elder.handOver(new Nobody()));
            final Host heir = new Host(config, loop, clock, pages, new Nowhere());
            heir.start(inheritance, Predecessor.none());
            inheritance
                .calls()
                .forEach(
                    call ->
                        call.messageIds()
                            .forEach(
                                id ->
                                    heir.remoteOutcome(
                                        id,
                                        new Carrier.Answer(
                                            AttemptResult.DELIVERED, true, 0, null))));
            loop.schedule(
                () -> {
                  // It may not go on deciding beside the real one.
                  try {
                    heir.handOver(new Nobody());
                  } catch (final IOException e) {
                    Log.failure("practice", e);
                  }
                  round(number + 1, then);
                },
                ROUND_MS,
                TimeUnit.MILLISECONDS);
          } catch (final IOException | RuntimeException e) {
            Log.failure("practice", e);
            then.run();
          }
        },
        ROUND_MS,
        TimeUnit.MILLISECONDS);
  }

  /** Calls that go nowhere: four of five are answered, in the next turn. */
  private final class Nowhere implements Host.Wiring, Carrier, Ends, Directory {
    private Carrier.Listener listener;
    private int calls;

    private record Made(long endpoint, long sentUs, List<? extends Parcel> parcels)
        implements Call {}

    @Override
    public Carrier carrier(final Carrier.Listener told) {
      listener = told;
      return this;
    }

    @Override
    public Ends ends(final Ends.Listener told) {
      return this;
    }

    @Override
    public Directory directory() {
      return this;
    }

    @Override
    public void afterLook(final long us, final Runnable action) {
      action.run();
    }

    @Override
    public void start(final Directory.Listener told) {
      final String kind =
          config.settings().kinds().isEmpty() ? "" : config.settings().kinds().get(0).name();
      final List<Listing> listings = new ArrayList<>();
      for (int number = 0; number < ENDPOINTS; number++) {
        listings.add(
            new Listing(
                "practice-" + number,
                EndpointState.LISTED,
                new InetSocketAddress("127.0.0.1", 1),
                config.settings().zone(),
                MESSAGES,
                kind,
                number % DESTINATIONS));
      }
      told.told(EndpointUpdate.RESTORED_SNAPSHOT, listings);
    }

    @Override
    public Call prepare(final long endpoint, final List<? extends Parcel> parcels) {
      return new Made(endpoint, clock.nowUs(), List.copyOf(parcels));
    }

    @Override
    public void start(final Call call) {
      if (++calls % DESTINATIONS != 0) {
        loop.execute(() -> end(call, new Answer(AttemptResult.DELIVERED, true, 0, null)));
      }
    }

    @Override
    public void abandon(final Call call, final AttemptResult result) {
      end(call, new Answer(result, false, 0, null));
    }

    private void end(final Call call, final Answer answer) {
      ((Made) call).parcels().forEach(parcel -> listener.outcome(parcel, call, answer));
    }

    @Override
    public void listed(final Endpoint entry, final boolean apart, final InetSocketAddress address) {
      // Nothing is kept of it.
    }

    @Override
    public void removed(final long endpoint) {
      // Nothing was kept of it.
    }

    @Override
    public void holdBack(final long endpoint) {
      // Nothing is on its way.
    }

    @Override
    public void closeIdle(final long endpoint) {
      // Nothing is open.
    }

    @Override
    public void follow() {
      // There is no news.
    }

    @Override
    public boolean isFresh() {
      return true;
    }

    @Override
    public void add(final Held held) {
      // Nobody is told.
    }

    @Override
    public void flush() {
      // Nobody is told.
    }

    @Override
    public boolean isEmpty() {
      return true;
    }

    @Override
    public void reload(final Config fresh) {
      // It keeps nothing of it.
    }
  }

  /** A journal in memory. */
  private static final class Pages implements Store {
    private final Map<String, Held> live = new LinkedHashMap<>();

    @Override
    public Collection<Held> live() {
      return List.copyOf(live.values());
    }

    @Override
    public boolean holds(final String id) {
      return live.containsKey(id);
    }

    @Override
    public boolean take(final Held held) {
      live.put(held.id(), held);
      return true;
    }

    @Override
    public void begin(final Held held, final long nowUs, final String zone) {
      held.begin(nowUs, zone);
    }

    @Override
    public void settle(final Held held, final boolean neverRan) {
      held.settle(neverRan);
    }

    @Override
    public void owe(final Held held, final Held.Notice notice) {
      live.remove(held.id());
    }

    @Override
    public void over(final Held held) {
      live.remove(held.id());
    }

    @Override
    public Flush flush() {
      return Flush.SAFE;
    }

    @Override
    public boolean isWritable() {
      return true;
    }
  }

  /** A client that does not listen. */
  private static final class Unheard implements Front.Reply {
    @Override
    public void accepted() {
      // It does not listen.
    }

    @Override
    public void refused(final Front.Refusal why, final long retryAfterUs) {
      // It does not listen.
    }

    @Override
    public void failed() {
      // It does not listen.
    }

    @Override
    public void unusable(final Front.Fault fault) {
      // It does not listen.
    }
  }

  /** An heir that is told things and does nothing. */
  private static final class Nobody implements Heir {
    @Override
    public void offer(final Held held, final long validUntilUs, final Front.Reply reply) {
      reply.failed();
    }

    @Override
    public void withdraw(final String id, final long destination) {
      // It holds nothing.
    }

    @Override
    public void outcome(final long call, final String messageId, final Carrier.Answer answer) {
      // It is not told of by anyone.
    }
  }
}
