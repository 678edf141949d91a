package thistleturn.courier;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients that submit messages at a steady rate, one at a time on each connection, and record the
 * responses. A connection is reused unless the response announces its close.
 */
final class LoadClients {
  /** The status of a request that timed out without a response on an open connection. */
  static final int TIMED_OUT = -1;

  /** The status of a request whose connection ended without a response. */
  static final int CONNECTION_LOST = -2;

  /** The status of a request that was not sent because its connection was refused. */
  static final int UNCONNECTED = -3;

  private static final int RESPONSE_TIMEOUT_MS = 3000;

  /** How long a read waits to find out whether a connection is closed. */
  private static final int CLOSED_CHECK_MS = 1;

  /**
   * A request and its response.
   *
   * @param connectedNs when its connection was opened, to the process that listened at that time
   * @param answeredNs when the response was read, or 0 without one
   */
  record Request(String id, int status, long connectedNs, long sentNs, long answeredNs) {}

  private record Connection(Socket socket, long connectedNs) {}

  private final CourierHarness courier;
  private final long intervalNs;
  private final ExecutorService workers = Executors.newCachedThreadPool();
  private final ConcurrentLinkedDeque<Connection> idle = new ConcurrentLinkedDeque<>();
  private final List<Request> requests = new CopyOnWriteArrayList<>();
  private final ConcurrentSkipListSet<Long> answersNs = new ConcurrentSkipListSet<>();
  private final Thread pacer = new Thread(this::pace, "load");
  private volatile boolean stopped;

  LoadClients(final CourierHarness courier, final int messagesPerSecond) {
    this.courier = courier;
    this.intervalNs = TimeUnit.SECONDS.toNanos(1) / messagesPerSecond;
  }

  void start() {
    pacer.start();
  }

  /** Stops the load, and returns all requests once each has been answered or has failed. */
  List<Request> stop() throws InterruptedException {
    stopped = true;
    pacer.join();
    workers.shutdown();
    if (!workers.awaitTermination(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the clients have not finished in time");
    }
    return List.copyOf(requests);
  }

  /** Returns when the first response after a moment was read, or null. */
  Long firstAnswerAfter(final long momentNs) {
    return answersNs.higher(momentNs);
  }

  private void pace() {
    long dueNs = System.nanoTime();
    for (int number = 0; !stopped; number++) {
      final String id = "k" + number;
      workers.execute(() -> submit(id));
      dueNs += intervalNs;
      LockSupport.parkNanos(dueNs - System.nanoTime());
    }
  }

  private void submit(final String id) {
    final long sentNs = System.nanoTime();
    try {
      final Connection connection = openConnection();
      final int status = exchange(connection, id);
      final long nowNs = System.nanoTime();
      if (status > 0) {
        answersNs.add(nowNs);
      }
      requests.add(
          new Request(id, status, connection.connectedNs(), sentNs, status > 0 ? nowNs : 0));
    } catch (final ConnectException e) {
      requests.add(new Request(id, UNCONNECTED, sentNs, sentNs, 0));
    } catch (final IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns an idle connection that the courier has not closed, or else a new one. */
  private Connection openConnection() throws IOException {
    for (Connection pooled = idle.poll(); pooled != null; pooled = idle.poll()) {
      if (isOpen(pooled.socket())) {
        return pooled;
      }
      pooled.socket().close();
    }
    return connect();
  }

  private static boolean isOpen(final Socket socket) throws IOException {
    socket.setSoTimeout(CLOSED_CHECK_MS);
    try {
      return socket.getInputStream().read() >= 0;
    } catch (final SocketTimeoutException e) {
      socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
      return true;
    } catch (final IOException e) {
      return false;
    }
  }

  private Connection connect() throws IOException {
    final Socket socket = courier.connect();
    final long connectedNs = System.nanoTime();
    socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
    return new Connection(socket, connectedNs);
  }

  /** Returns the status of the response, or one of the negative values above. */
  private int exchange(final Connection connection, final String id) throws IOException {
    final Socket socket = connection.socket();
    boolean reusable = false;
    try {
      socket
          .getOutputStream()
          .write(CourierHarness.submitRequest(id, "once").getBytes(StandardCharsets.ISO_8859_1));
      final CourierHarness.Response response = CourierHarness.readResponse(socket.getInputStream());
      reusable = response.status() == 202 && !response.head().contains("connection: close");
      return response.status() == 0 ? CONNECTION_LOST : response.status();
    } catch (final SocketTimeoutException e) {
      return TIMED_OUT;
    } catch (final IOException e) {
      return CONNECTION_LOST;
    } finally {
      if (reusable) {
        idle.add(connection);
      } else {
        socket.close();
      }
    }
  }

  /** Returns P50, P99 and the maximum of some durations, in milliseconds. */
  static String percentiles(final List<Long> durationsNs) {
    if (durationsNs.isEmpty()) {
      return "none";
    }
    final List<Long> sorted = new ArrayList<>(durationsNs);
    sorted.sort(null);
    return String.format(
        Locale.ROOT,
        "P50 %.1f, P99 %.1f, maximum %.1f ms of %d",
        millis(sorted, 0.5),
        millis(sorted, 0.99),
        millis(sorted, 1),
        sorted.size());
  }

  private static double millis(final List<Long> sortedNs, final double share) {
    final int index = (int) Math.ceil(share * sortedNs.size()) - 1;
    return sortedNs.get(Math.max(0, index)) / 1e6;
  }
}
