package thistleturn.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;

/**
 * The configuration file and the environment that the platform gives a courier at its start, for
 * tests and demonstrations.
 */
public final class CourierFiles {
  /**
   * One message class of each idempotence; {@code brief} is idempotent by key within a window of
   * 300 ms.
   */
  public static final List<MessageClass> CLASSES =
      List.of(
          messageClass("safe", Idempotence.IDEMPOTENT, 0),
              messageClass("keyed", Idempotence.IDEMPOTENT_BY_KEY, 10_000_000),
          messageClass("brief", Idempotence.IDEMPOTENT_BY_KEY, 300_000),
              messageClass("once", Idempotence.NON_IDEMPOTENT, 0));

  private static final long LATENCY_OBJECTIVE_US = 4_000_000;
  private static final long DEADLINE_US = 16_000_000;

  private CourierFiles() {}

  private static MessageClass messageClass(
      final String name, final Idempotence effect, final long windowUs) {
    return new MessageClass(name, effect, false, false, 1, 0, 4_000_000, 16_000_000, windowUs);
  }

  /** The limits of a courier: messages, concurrent calls, descriptors. */
  public record Size(int maxOpen, int slots, int sockets) {
    /** 2,000 messages, 64 concurrent calls and 1,024 descriptors. */
    public static Size usual() {
      return new Size(2000, 64, 1024);
    }
  }

  /** Writes the configuration into the folder, and returns the environment that refers to it. */
  public static Map<String, String> write(
      final Path folder,
      final String name,
      final String discovery,
      final String known,
      final Size size)
      throws IOException {
    final StringBuilder classes = new StringBuilder();
    for (final MessageClass each : CLASSES) {
      final String effect =
          switch (each.idempotence()) {
            case IDEMPOTENT -> "\"pure\"";
            case IDEMPOTENT_BY_KEY ->
                "\"token\",\"group\":\"all\",\"dedup_window\":" + each.idempotencyWindowUs();
            case NON_IDEMPOTENT -> "\"side_effect\"";
          };
      classes
          .append(classes.isEmpty() ? "" : ",")
          .append("{\"name\":\"")
          .append(each.name())
          .append("\",\"effect\":")
          .append(effect)
          .append(",\"target\":")
          .append(LATENCY_OBJECTIVE_US)
          .append(",\"deadline\":")
          .append(DEADLINE_US)
          .append(",\"points\":1.0}");
    }
    Files.createDirectories(folder.resolve("state"));
    final Path config =
        Files.writeString(
            folder.resolve("config.json"),
            """
                {"name":"%s","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d,"disk_mb":64},
                 "known":%s,
                 "settings":{"balancers":1,"my_zone":"a","discovery":"on_request","weights":"nominal",
                  "classes":[%s],"flavors":["std"],"extra":{"calls_out":%d,"per_call":[5],"routes_apart":[false]},
                  "guarantees":{"must_ask_in":10000000,"cold_from":0.3,"cold":3000000,"tip_multiple":2.0},
                  "limits":{"max_open":%d,"most_tries":12,"cancel":true,"idle_close":10000000,"retry_after":true,
                   "connect_timeout":1000000,"max_retry_after":2000000}}}"""
                .formatted(
                    name, discovery, size.sockets(), known, classes, size.slots(), size.maxOpen()));
    return Map.of(
        "PROXY_CONFIG", config.toString(), "PROXY_STATE", folder.resolve("state").toString());
  }
}
