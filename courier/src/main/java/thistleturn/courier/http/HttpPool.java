package thistleturn.courier.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import thistleturn.decisions.Courier;

/** The connections to one endpoint; its fields are the {@link HttpCarrier}'s to change. */
final class HttpPool {
    final long endpoint;
    final long destination;
    final boolean apart;
    InetSocketAddress address;
    /** Idle ones, the one used last at the end. */
    final Deque<HttpConnection> idle = new ArrayDeque<>();
    boolean removed;

    HttpPool(final Courier.Endpoint entry, final boolean apart, final InetSocketAddress address) {
        this.endpoint = entry.id();
        this.destination = entry.destination();
        this.apart = apart;
        this.address = address;
    }
}
