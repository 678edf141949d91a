package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Fetches JSON pages from a running courier's admin address ({@code admin.listen}). */
final class AdminClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int STATUS_OK = 200;

  private AdminClient() {}

  /**
   * Fetches one page.
   *
   * @param address host and port of the admin address
   * @param page the page's path, without the leading slash
   * @param missingReason why a courier may not have this page, for the error message
   * @throws AdminRequestException if the courier does not respond, or not with status 200
   */
  static JsonNode fetch(final String address, final String page, final String missingReason)
      throws InterruptedException {
    final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    final HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/" + page))
            .timeout(TIMEOUT)
            .build();
    try {
      final HttpResponse<String> response =
          client.send(request, HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() != STATUS_OK) {
        throw new AdminRequestException(
            "the courier at "
                + address
                + " answers "
                + response.statusCode()
                + ": "
                + missingReason);
      }
      return new ObjectMapper().readTree(response.body());
    } catch (final IOException e) {
      throw new AdminRequestException(
          "no courier answers at " + address + " (admin.listen): " + e, e);
    }
  }
}
