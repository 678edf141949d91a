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
 * Clients that hand in messages at a steady rate, one at a time on each connection, and note what
 * they hear. A connection is used again until its answer says that it closes.
 */
final class LoadClients {
  /** The status of a request with no answer in time on a connection that stayed open. */
  static final int TIMED_OUT = -1;

  /** The status of a request whose connection ended without an answer. */
  static final int CONNECTION_LOST = -2;

  /** The status of a request that was not handed in, since nobody accepted its connection. */
  static final int UNCONNECTED = -3;

  private static final int PATIENCE_MS = 3000;

  /** So long a connection is read to see whether it is closed. */
  private static final int CLOSED_CHECK_MS = 1;

  /**
   * A request and its answer.
   *
   * @param connectedNs when its connection was made; it belongs to the process that listened then
   * @param answeredNs 0 without an answer
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

  /** Ends the load, and returns all requests once each has its answer or none. */
  List<Request> stop() throws InterruptedException {
    stopped = true;
    pacer.join();
    workers.shutdown();
    if (!workers.awaitTermination(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS)) {
      throw new IllegalStateException("clients did not end");
    }
    return List.copyOf(requests);
  }

  /** Returns when the first answer was read after that moment, or null. */
  Long firstAnswerAfter(final long momentNs) {
    return answersNs.higher(momentNs);
  }

  private void pace() {
    long dueNs = System.nanoTime();
    for (int number = 0; !stopped; number++) {
      final String id = "k" + number;
      workers.execute(() -> handIn(id));
      dueNs += intervalNs;
      LockSupport.parkNanos(dueNs - System.nanoTime());
    }
  }

  private void handIn(final String id) {
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

  /** Returns a connection that the courier has not closed between two requests. */
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
      socket.setSoTimeout(PATIENCE_MS);
      return true;
    } catch (final IOException e) {
      return false;
    }
  }

  private Connection connect() throws IOException {
    final Socket socket = courier.connect();
    final long connectedNs = System.nanoTime();
    socket.setSoTimeout(PATIENCE_MS);
    return new Connection(socket, connectedNs);
  }

  /** Returns the status of the answer, or what stands for none. */
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

  /** Returns P50, P99 and the maximum of some spans, ms. */
  static String percentiles(final List<Long> spansNs) {
    if (spansNs.isEmpty()) {
      return "none";
    }
    final List<Long> sorted = new ArrayList<>(spansNs);
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
