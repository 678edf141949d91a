package thistleturn.courier.http;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import thistleturn.courier.port.Carrier;
import thistleturn.decisions.index.TimeHeap;

/** One call: the messages in it, and how far it has come. */
final class HttpCall extends TimeHeap.Entry implements Carrier.Call {
    final HttpPool pool;
    final long endpoint;
    final long sentUs;
    final long deadlineUs;
    /** Until when all of it may go, us. */
    final long goesUntilUs;
    final List<Carrier.Parcel> parcels;
    /** What falls due for it beside its deadline: the ends of single messages, and of a connection's rest. */
    final List<Future<?>> timers = new ArrayList<>(0);
    Channel channel;
    HttpConnection reader;
    boolean started;
    boolean written;
    /** It was written with several messages: its answer tells each one's end, also where but one is left in it since. */
    boolean bulk;

    HttpCall(final HttpPool pool, final long endpoint, final List<? extends Carrier.Parcel> parcels, final long sentUs) {
        this.pool = pool;
        this.endpoint = endpoint;
        this.parcels = new ArrayList<>(parcels);
        this.sentUs = sentUs;
        this.deadlineUs = sentUs + parcels.stream().mapToLong(Carrier.Parcel::timeoutUs).max().orElse(0);
        this.goesUntilUs = parcels.stream().mapToLong(HttpCall::goesUntilUs).min().orElse(Long.MAX_VALUE);
    }

    /** Until when a message's first byte may go: while its key surely holds, and its own time is not up. */
    static long goesUntilUs(final Carrier.Parcel parcel) {
        return Math.min(parcel.goesUntilUs(), parcel.validUntilUs());
    }

    @Override
    public long endpoint() {
        return endpoint;
    }

    @Override
    public long sentUs() {
        return sentUs;
    }
}
