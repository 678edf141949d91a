package thistleturn.courier;

import thistleturn.decisions.Control;
import thistleturn.decisions.Courier;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The one that calls {@link Control}: it tells it what the sockets brought in a pass of the event loop, lets it decide
 * once, and carries out what it asked for. It holds the open messages, and keeps the journal ahead of every byte that
 * promises something. All of it runs on the event loop's thread.
 */
final class Host implements Courier.Actions {
    private static final long US_PER_MS = 1000;
    /** When the store is full: a message's time in it is some seconds, so that one place is free soon. */
    private static final long FULL_RETRY_US = 1_000_000;

    /** Where the answer to a client goes. */
    interface Reply {
        /** Taken on. */
        void accepted();

        /** Refused, and harmless to hand in again, after a while if above 0. */
        void refused(int status, long retryAfterUs);

        /** Ended with nothing promised. */
        void failed();
    }

    /** A message that is owed its end. */
    static final class Open {
        final Held held;
        final Courier.MessageClass kind;
        final long validUntilUs;
        /** Where its first answer goes; null once that is given. */
        private Reply reply;
        private boolean over;
        private Endpoints.Call call;

        Open(final Held held, final Courier.MessageClass kind, final long validUntilUs, final Reply reply) {
            this.held = held;
            this.kind = kind;
            this.validUntilUs = validUntilUs;
            this.reply = reply;
        }
    }

    /** One message's part in a call. */
    record Parcel(Open open, long timeoutUs) { }

    private final Config config;
    private final EventLoop loop;
    private final Clock clock;
    private final Journal journal;
    private final Control control;
    private final Endpoints endpoints;
    private final Discovery discovery;
    private final Notices notices;
    private final Map<String, Open> messages = new LinkedHashMap<>();
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<Long, List<Parcel>> outbox = new LinkedHashMap<>();
    private final List<Open> unanswered = new ArrayList<>();
    private boolean passDue;

    Host(final Config config, final EventLoop loop, final Clock clock, final Journal journal) {
        this.config = config;
        this.loop = loop;
        this.clock = clock;
        this.journal = journal;
        this.control = new Control(config.settings(), config.seed(), this);
        this.endpoints = new Endpoints(config, loop, clock, this);
        this.discovery = new Discovery(config, loop, clock, this);
        this.notices = new Notices(config.discovery(), loop, this);
        config.settings().classes().forEach(kind -> classes.put(kind.name(), classes.size()));
    }

    /** Takes up what an earlier process held, and begins to follow the list. Runs on the event loop. */
    void start() {
        discovery.restore(config.known());
        int resumed = 0;
        for (final Held held : journal.live()) {
            final Integer index = classes.get(held.className);
            if (held.notice() != null) {
                notices.add(held);
            } else if (index == null) {
                end(new Open(held, null, 0, null), new Held.Notice(true, 0));
            } else {
                resume(held, index);
                resumed++;
            }
        }
        if (resumed > 0) {
            Log.info("resumed " + resumed + " messages");
        }
        touch();
    }

    private void resume(final Held held, final int index) {
        final Open open = new Open(held, config.settings().classes().get(index),
                clock.fromWallUs(held.validUntilWallUs), null);
        final Courier.Past past = held.past(clock);
        if (held.isOut()) {
            journal.settle(held, false);
        }
        messages.put(held.id, open);
        control.onResumed(clock.nowUs(), message(open, index), past);
    }

    private static Courier.Message message(final Open open, final int index) {
        return new Courier.Message(open.held.id, index, -1, null, open.validUntilUs, open.held.destination);
    }

    // ---------------------------------------------------------------- what the sockets bring

    /** The class of that name, or null. */
    Courier.MessageClass kind(final String className) {
        final Integer index = classes.get(className);
        return index == null ? null : config.settings().classes().get(index);
    }

    /** True while a message of that id is owed its end, or its notice. */
    boolean holds(final String id) {
        return messages.containsKey(id) || journal.holds(id);
    }

    /** False for a destination that, as far as can be known now, does not exist. */
    boolean knows(final long destination) {
        return discovery.knows(destination);
    }

    /** Takes a message, if there is room; its reply comes at the end of the pass. */
    void offer(final Held held, final long validUntilUs, final Reply reply) {
        if (messages.size() >= config.settings().limits().maxOpen() || !journal.take(held)) {
            reply.refused(Intake.UNAVAILABLE, FULL_RETRY_US);
            return;
        }
        final int index = classes.get(held.className);
        final Open open = new Open(held, config.settings().classes().get(index), validUntilUs, reply);
        messages.put(held.id, open);
        unanswered.add(open);
        control.onMessage(clock.nowUs(), message(open, index));
        touch();
    }

    /** The client went before it was answered: nobody knows of this message, and nobody wants it. */
    void withdraw(final String id) {
        final Open open = messages.get(id);
        if (open != null) {
            forget(open);
            control.onExpired(clock.nowUs(), id);
            touch();
        }
    }

    /** The list has changed, or could not be had. */
    void list(final Courier.Update update, final List<Courier.Endpoint> entries) {
        control.onList(clock.nowUs(), update, entries);
        touch();
    }

    Endpoints endpoints() {
        return endpoints;
    }

    /** The outcome of one message's part in a call. */
    void outcome(final Parcel parcel, final Endpoints.Call call, final Endpoints.Answer answer) {
        final Open open = parcel.open();
        open.call = null;
        final boolean delivered = answer.result() == Courier.Result.DELIVERED;
        if (!open.over) {
            if (delivered || answer.over()) {
                forget(open);
            } else {
                journal.settle(open.held, answer.result().neverRan());
            }
        }
        control.onOutcome(clock.nowUs(), new Courier.Outcome(open.held.id, answer.result(), open.over,
                call.endpoint(), clock.nowUs() - call.sentUs(), answer.waitUs(), answer.allowance()));
        touch();
    }

    /** The platform has confirmed these notices. */
    void noticed(final List<Held> confirmed) {
        confirmed.forEach(journal::over);
    }

    // ---------------------------------------------------------------- the pass

    /** Lets the decisions be made once all that this pass of the loop brought has been told. */
    private void touch() {
        if (!passDue) {
            passDue = true;
            loop.execute(this::pass);
        }
    }

    private void pass() {
        passDue = false;
        try {
            control.decide(clock.nowUs());
        } catch (final RuntimeException | Error e) {
            Log.failure("decisions failed", e);
        }
        answer();
        outbox.forEach(this::sendAll);
        outbox.clear();
        notices.flush();
    }

    /** What was taken and not ended in the same pass is taken on. */
    private void answer() {
        final List<Open> due = List.copyOf(unanswered);
        unanswered.clear();
        for (final Open open : due) {
            if (open.reply != null && !open.over) {
                final Reply reply = open.reply;
                open.reply = null;
                reply.accepted();
            }
        }
    }

    private void sendAll(final long endpoint, final List<Parcel> parcels) {
        final int most = Math.max(1, discovery.messagesPerCall(endpoint));
        for (int from = 0; from < parcels.size(); from += most) {
            final List<Parcel> some = parcels.subList(from, Math.min(parcels.size(), from + most));
            final Endpoints.Call call = endpoints.prepare(endpoint, some);
            boolean recorded = true;
            for (final Parcel parcel : some) {
                parcel.open().call = call;
                recorded &= journal.begin(parcel.open().held, clock.wallUs(), discovery.zone(endpoint));
            }
            if (recorded) {
                endpoints.start(call);
            } else {
                // An attempt that the journal does not know of would be forgotten by a restart.
                loop.execute(() -> endpoints.abandon(call, Courier.Result.NOT_SENT));
            }
        }
    }

    // ---------------------------------------------------------------- what the decisions ask for

    @Override
    public void send(final String messageId, final long endpoint, final long timeoutUs) {
        final Open open = messages.get(messageId);
        if (open != null) {
            outbox.computeIfAbsent(endpoint, unused -> new ArrayList<>()).add(new Parcel(open, timeoutUs));
        }
    }

    @Override
    public void refuse(final String messageId, final long retryAfterUs) {
        final Open open = messages.get(messageId);
        if (open == null) {
            return;
        }
        if (open.reply == null) {
            end(open, new Held.Notice(false, retryAfterUs / US_PER_MS));
        } else {
            final Reply reply = open.reply;
            forget(open);
            reply.refused(Intake.TOO_MANY, retryAfterUs);
        }
    }

    @Override
    public void fail(final String messageId) {
        final Open open = messages.get(messageId);
        if (open == null) {
            return;
        }
        if (open.reply == null) {
            end(open, new Held.Notice(true, 0));
        } else {
            final Reply reply = open.reply;
            forget(open);
            reply.failed();
        }
    }

    /** Ends a message that was taken on by a notice; the journal holds the notice until it is confirmed. */
    private void end(final Open open, final Held.Notice notice) {
        open.over = true;
        messages.remove(open.held.id);
        journal.owe(open.held, notice);
        notices.add(open.held);
    }

    private void forget(final Open open) {
        open.over = true;
        open.reply = null;
        messages.remove(open.held.id);
        journal.over(open.held);
    }

    @Override
    public void cancel(final String messageId, final int attempt) {
        final Open open = messages.get(messageId);
        if (open != null && open.call != null) {
            final Endpoints.Call call = open.call;
            loop.execute(() -> endpoints.abandon(call, Courier.Result.CANCELLED));
        }
    }

    @Override
    public void closeIdle(final long endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void follow() {
        discovery.follow();
    }

    @Override
    public void wake(final long delayUs) {
        loop.schedule(this::touch, delayUs, TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- a new configuration

    /** Moves to the discovery of a new configuration at once; all else counts from the next start. */
    void reload(final Config fresh) {
        final boolean same = fresh.settings().equals(config.settings()) && fresh.listen().equals(config.listen());
        Log.info("SIGHUP: discovery is at " + fresh.discovery()
                + (same ? "" : "; what else is new in the configuration counts from the next start"));
        discovery.move(fresh.discovery());
        notices.move(fresh.discovery());
    }

    // ---------------------------------------------------------------- the end of the process

    /** This process ends at that moment: nothing is begun that cannot end by then. */
    void stopping(final long stopUs) {
        control.onStopping(clock.nowUs(), stopUs);
        touch();
    }

    /** True when nothing is under way that the end of the process would cut off. */
    boolean idle() {
        return messages.isEmpty() && notices.isEmpty();
    }
}
