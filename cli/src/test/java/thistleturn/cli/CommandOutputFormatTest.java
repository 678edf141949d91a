package thistleturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * The text that the commands print for fixed admin pages, and their help texts, byte for byte.
 *
 * <p>The expected file has a block for each command line. Its head contains the command line, with
 * {@code @} and {@code #} for the addresses of two couriers, and the exit code. Below it are
 * stdout, a separator, and stderr.
 */
final class CommandOutputFormatTest {
  private static final String BLOCK_START = "### ";
  private static final String EXIT_CODE = " -> ";
  private static final String STDERR = "--- err\n";

  private final List<HttpServer> servers = new ArrayList<>();

  @BeforeEach
  void startServers() throws IOException {
    for (final JsonNode pages : new ObjectMapper().readTree(resource("admin-pages.json"))) {
      final HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
      server.createContext("/", exchange -> respond(exchange, pages));
      server.start();
      servers.add(server);
    }
  }

  @AfterEach
  void stopServers() {
    servers.forEach(server -> server.stop(0));
  }

  @TestFactory
  Stream<DynamicTest> commandLine_printsExpectedText() throws IOException {
    return Stream.of(resource("command-output.txt").split(BLOCK_START, -1))
        .skip(1)
        .map(
            block -> {
              final int headEnd = block.indexOf('\n');
              final String head = block.substring(0, headEnd);
              final String commandLine = head.substring(0, head.indexOf(EXIT_CODE));
              return DynamicTest.dynamicTest(
                  commandLine, () -> assertEquals(block, run(commandLine)));
            });
  }

  /** Runs a command line and returns its block of the expected file. */
  private String run(final String commandLine) {
    final StringWriter out = new StringWriter();
    final StringWriter err = new StringWriter();
    final int exitCode =
        Main.commandLine()
            .setOut(new PrintWriter(out))
            .setErr(new PrintWriter(err))
            .execute(commandLine.replace("@", address(0)).replace("#", address(1)).split(" "));
    return commandLine
        + EXIT_CODE
        + exitCode
        + "\n"
        + (out + STDERR + err)
            .replace(address(0), "127.0.0.1:11111")
            .replace(address(1), "127.0.0.1:22222");
  }

  private String address(final int server) {
    return "127.0.0.1:" + servers.get(server).getAddress().getPort();
  }

  private static void respond(final HttpExchange exchange, final JsonNode pages)
      throws IOException {
    final JsonNode page = pages.path(exchange.getRequestURI().getPath().substring(1));
    try (exchange) {
      if (page.isMissingNode()) {
        exchange.sendResponseHeaders(404, -1);
      } else {
        final byte[] body = page.toString().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
      }
    }
  }

  private static String resource(final String name) throws IOException {
    try (InputStream in = CommandOutputFormatTest.class.getResourceAsStream(name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
