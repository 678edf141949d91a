package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Asks a running courier's operators' address ({@code admin.listen}). */
final class AdminClient {
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private AdminClient() {}

  /**
   * One page; what goes wrong is told in one line, with {@code otherwise} where the courier has no
   * such page.
   */
  static JsonNode ask(final String address, final String page, final String otherwise)
      throws InterruptedException {
    try {
      final HttpResponse<String> answer =
          HttpClient.newBuilder()
              .connectTimeout(PATIENCE)
              .build()
              .send(
                  HttpRequest.newBuilder(URI.create("http://" + address + "/" + page))
                      .timeout(PATIENCE)
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      if (answer.statusCode() != 200) {
        throw new IllegalStateException(
            "the courier at " + address + " answers " + answer.statusCode() + ": " + otherwise);
      }
      return new ObjectMapper().readTree(answer.body());
    } catch (final IOException e) {
      throw new IllegalStateException(
          "no courier answers at " + address + " (admin.listen): " + e, e);
    }
  }
}
