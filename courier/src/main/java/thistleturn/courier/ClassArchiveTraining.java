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

/**
 * One run of a courier at the build, so that the Java machine can write down the classes that it
 * loads: a courier that finds them prepared is ready, after a restart too, in a fraction of the
 * time. It serves as its own discovery and endpoint, which answer that they know of nothing.
 */
public final class ClassArchiveTraining {
  private static final String ADDRESS = "127.0.0.1";
  private static final int MAX_ATTEMPTS = 50;
  private static final long RETRY_DELAY_MS = 100;

  private ClassArchiveTraining() {}

  /** Runs a courier in the folder given, hands in one message, and ends. */
  public static void main(final String[] args)
      throws IOException, InterruptedException, ConfigurationException {
    final Path folder = Files.createDirectories(Path.of(args[0]));
    final int port;
    final int operatorPort;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS));
        ServerSocket second = new ServerSocket(0, 1, InetAddress.getByName(ADDRESS))) {
      port = free.getLocalPort();
      operatorPort = second.getLocalPort();
    }
    final String own = ADDRESS + ":" + port;
    final Path config =
        Files.writeString(
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
                .formatted(own, operatorPort, own, own));
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

  private static void exchange(final int port, final String request)
      throws IOException, InterruptedException {
    for (int left = MAX_ATTEMPTS; left > 0; left--) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(ADDRESS, port));
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        socket.getInputStream().readAllBytes();
        return;
      } catch (final IOException e) {
        if (left == 1) {
          throw e;
        }
        Thread.sleep(RETRY_DELAY_MS);
      }
    }
  }
}
