package thistleturn.courier;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import thistleturn.testkit.SocketTable;

/** An HTTP server for tests on a free port: it records requests, and a script responds to them. */
final class FakeHttpServer implements AutoCloseable {
  /** A request that was received completely. */
  record Request(
      String requestLine,
      Map<String, String> headers,
      byte[] body,
      Connection connection,
      long receivedNs) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    String header(final String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  final List<Request> requests = new CopyOnWriteArrayList<>();
  final List<Connection> connections = new CopyOnWriteArrayList<>();
  private final ServerSocket server;
  private volatile BiConsumer<Request, Connection> script;

  FakeHttpServer(final BiConsumer<Request, Connection> script) throws IOException {
    this.script = script;
    this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    startDaemonThread(this::accept);
  }

  void script(final BiConsumer<Request, Connection> next) {
    script = next;
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void startDaemonThread(final Runnable work) {
    final Thread thread = new Thread(work);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        final Connection connection = new Connection(server.accept());
        connections.add(connection);
        startDaemonThread(() -> serve(connection));
      }
    } catch (final IOException e) {
      assert server.isClosed();
    }
  }

  private void serve(final Connection connection) {
    try {
      final InputStream in = connection.socket.getInputStream();
      while (true) {
        final Request request = readRequest(in, connection);
        if (request == null) {
          break;
        }
        requests.add(request);
        script.accept(request, connection);
      }
    } catch (final IOException e) {
      connection.closedByPeer = true;
    }
    connection.closedByPeer = true;
  }

  private static Request readRequest(final InputStream in, final Connection connection)
      throws IOException {
    final String line = readLine(in);
    if (line.isEmpty()) {
      return null;
    }
    final Map<String, String> headers = new TreeMap<>();
    for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
      final int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    final byte[] body =
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Request(line, headers, body, connection, System.nanoTime());
  }

  static String readLine(final InputStream in) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.UTF_8).trim();
  }

  @Override
  public void close() throws IOException {
    server.close();
    connections.forEach(Connection::reset);
  }

  /** A connection that was accepted. */
  static final class Connection {
    private final Socket socket;

    /** True once the peer has closed its sending side, or the connection is lost. */
    volatile boolean closedByPeer;

    Connection(final Socket socket) {
      this.socket = socket;
    }

    void respond(final int status, final String body, final String... headers) {
      final StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
      for (final String header : headers) {
        head.append(header).append("\r\n");
      }
      write(
          head
              + "Content-Length: "
              + body.getBytes(StandardCharsets.UTF_8).length
              + "\r\n\r\n"
              + body);
    }

    void write(final String text) {
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      } catch (final IOException e) {
        closedByPeer = true;
      }
    }

    void writeChunk(final String text) {
      write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Returns whether the kernel reports that the peer has ended the connection. */
    boolean hasPeerEnded() {
      try {
        return socket.isClosed()
            || SocketTable.hasRemoteEnded(
                (InetSocketAddress) socket.getLocalSocketAddress(),
                (InetSocketAddress) socket.getRemoteSocketAddress());
      } catch (final IOException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Ends the connection behind what was written. */
    void end() {
      try {
        socket.shutdownOutput();
      } catch (final IOException e) {
        closedByPeer = true;
      }
    }

    /** Resets the connection. */
    void reset() {
      try {
        if (!socket.isClosed()) {
          socket.setSoLinger(true, 0);
          socket.close();
        }
      } catch (final IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }
}
