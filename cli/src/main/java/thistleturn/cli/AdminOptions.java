package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Option;

/** Options shared by the commands that query a running courier's admin address. */
final class AdminOptions {
  @Option(
      names = "--at",
      paramLabel = "ADDRESS",
      defaultValue = "127.0.0.1:7071",
      description = "where operators ask (admin.listen); ${DEFAULT-VALUE} unless told")
  private String address;

  @Option(names = "--json", description = "as JSON")
  private boolean json;

  @Option(names = "--destination", paramLabel = "N", description = "of one destination only")
  private Long destination;

  /** Host and port of the courier's admin address. */
  String address() {
    return address;
  }

  /** Whether to print the page as JSON instead of as a table. */
  boolean json() {
    return json;
  }

  /** Returns whether a row passes the destination filter; without a filter, every row passes. */
  boolean includes(final JsonNode row) {
    return destination == null || destination == row.path("destination").asLong();
  }
}
