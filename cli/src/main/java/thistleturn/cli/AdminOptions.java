package thistleturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Option;

/** What every question to a running courier's operators' address can be told. */
final class AdminOptions {
  @Option(
      names = "--at",
      paramLabel = "ADDRESS",
      defaultValue = "127.0.0.1:7071",
      description = "where operators ask (admin.listen); ${DEFAULT-VALUE} unless told")
  String address;

  @Option(names = "--json", description = "as JSON")
  boolean json;

  @Option(names = "--destination", paramLabel = "N", description = "of one destination only")
  private Long destination;

  /** True for a row of the destination that was asked for, or of any. */
  boolean wants(final JsonNode row) {
    return destination == null || destination == row.path("destination").asLong();
  }
}
