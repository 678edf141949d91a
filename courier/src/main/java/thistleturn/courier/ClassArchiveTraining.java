package thistleturn.courier;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import thistleturn.courier.runtime.ConfigurationException;
import thistleturn.courier.runtime.CourierOptions;

/**
 * Runs a courier at build time, so that the JVM can archive the classes that it loads: a courier
 * with such a class data archive starts in a fraction of the time. The courier's configuration
 * names the courier itself as the discovery service and as the only endpoint.
 */
public final class ClassArchiveTraining {
  private static final String ADDRESS = "127.0.0.1";
  private static final int MAX_ATTEMPTS = 50;
  private static final long RETRY_DELAY_MS = 100;

  private ClassArchiveTraining() {}

  /** Runs a courier in the folder given as the argument, submits one message, and exits. */
  public static void main(final String[] args)
      throws IOException, InterruptedException, ConfigurationException {
    final Path folder = Files.createDirectories(Path.of(args[0]));
    final int port;
    final int operatorPort;
    try (ServerSocket client = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS));
        ServerSocket operator = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS))) {
      port = client.getLocalPort();
      operatorPort = operator.getLocalPort();
    }
    final Path config = writeConfiguration(folder, port, operatorPort);
    Main.serve(
        Map.of(
            "PROXY_CONFIG", config.toString(), "PROXY_STATE", folder.resolve("state").toString()),
        null,
        CourierOptions.platformDefaults());
    exchange(port, "GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    exchange(
        port,
        "POST /once HTTP/1.1\r\nHost: a\r\nX-Request-ID: r\r\nX-Priority-Class: once\r\nX-Timeout-Ms: 900\r\n"
            + "X-Consignee: dest=1\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
    exchange(operatorPort, "GET /-/metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    exchange(
        operatorPort,
        "POST /-/endpoints/nobody/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    System.exit(0);
  }

  private static Path writeConfiguration(final Path folder, final int port, final int operatorPort)
      throws IOException {
    final String ownAddress = ADDRESS + ":" + port;
    return Files.writeString(
        folder.resolve("config.json"),
        """
                {"name":"rehearsal","listen":"%s","operator":"127.0.0.1:%d","discovery":"%s","seed":"1","limits":{"sockets":256,"disk_mb":3},
                 "known":{"seq":1,"whole":true,"hosts":[{"host":"e","dial":"%s","site":"a","class":"std","block":1,
                  "health":"Ready","share":9.0,"born_ms":0}]},
                 "settings":{"balancers":1,"my_zone":"a","discovery":"on_request","weights":"nominal","flavors":["std"],
                  "classes":[{"name":"once","effect":"side_effect","target":500000,"deadline":1000000}],
                  "extra":{"calls_out":4,"per_call":[5],"routes_apart":[false]},
                  "limits":{"max_open":9,"most_tries":2,"idle_close":1000000}}}
                """
            .formatted(ownAddress, operatorPort, ownAddress, ownAddress));
  }

  /**
   * Sends a request and reads the whole response; retries, since the listener may not be open yet.
   */
  private static void exchange(final int port, final String request)
      throws IOException, InterruptedException {
    for (int attemptsLeft = MAX_ATTEMPTS; attemptsLeft > 0; attemptsLeft--) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ADDRESS, port));
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().readAllBytes();
        return;
      } catch (final IOException e) {
        if (attemptsLeft == 1) {
          throw e;
        }
        Thread.sleep(RETRY_DELAY_MS);
      }
    }
  }
}
