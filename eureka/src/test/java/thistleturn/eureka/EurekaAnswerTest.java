package thistleturn.eureka;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import thistleturn.decisions.membership.ReportedStatus;
import thistleturn.decisions.membership.SourceReport;
import thistleturn.testkit.StandInRegistry;

/** Parsing of a registry's responses: in pieces, with unchanged instances, and malformed ones. */
@Tag("membership")
final class EurekaAnswerTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final EurekaAnswer.Memory memory = new EurekaAnswer.Memory();

  private static ObjectNode instance(final int number, final String status) {
    return StandInRegistry.endpoint(
        "app" + number / 3, "i-\"{}[]\\-" + number, 1000 + number, number % 5, status);
  }

  private static String response(final String hash, final List<ObjectNode> instances) {
    final ObjectNode root = JSON.createObjectNode();
    final ArrayNode apps =
        root.putObject("applications")
            .put("versions__delta", 1)
            .put("apps__hashcode", hash)
            .putArray("application");
    instances.forEach(
        instance ->
            apps.addObject()
                .put("name", instance.path("app").asText())
                .putArray("instance")
                .add(instance));
    return root.toString();
  }

  private static List<ObjectNode> instances(final int count) {
    final List<ObjectNode> all = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      all.add(instance(number, number % 4 == 0 ? "DOWN" : "UP"));
    }
    return all;
  }

  /** Parses a response in pieces of at most {@code piece} bytes. */
  private EurekaAnswer read(final String text, final boolean delta, final int piece)
      throws IOException {
    final EurekaAnswer answer =
        new EurekaAnswer(MetadataNames.standard(), new EurekaMapping(), memory, delta);
    final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int at = 0; at < bytes.length; at += piece) {
      answer.feed(Unpooled.wrappedBuffer(bytes, at, Math.min(piece, bytes.length - at)));
    }
    answer.end();
    return answer;
  }

  private static List<String> sortedReports(final EurekaAnswer answer) {
    return answer.reports().stream().map(SourceReport::toString).sorted().toList();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 7, 64, 1000, 100_000})
  void responseSplitAnywhere_givesTheSameReports(final int piece) throws IOException {
    final String text = response("DOWN_10_UP_30_", instances(40));
    final EurekaAnswer first = read(text, false, 100_000);
    assertTrue(first.remember(memory));
    assertEquals(40, first.reports().size());
    assertEquals(40, first.parsedInstances());
    final EurekaAnswer again = read(text, false, piece);
    assertTrue(again.remember(memory));
    assertEquals(sortedReports(first), sortedReports(again));
    assertEquals(
        0, piece >= 1000 ? again.parsedInstances() : 0, "unchanged instances are not parsed");
  }

  @Test
  void randomChangesBetweenSnapshots_giveReportsOfFreshParser() throws IOException {
    final long seed = 11;
    final Random random = new Random(seed);
    List<ObjectNode> now = instances(60);
    for (int round = 0; round < 200; round++) {
      now = new ArrayList<>(now);
      switch (random.nextInt(5)) {
        case 0 -> Collections.shuffle(now, random);
        case 1 -> now.remove(random.nextInt(now.size()));
        case 2 -> now.add(random.nextInt(now.size()), instance(100 + round, "UP"));
        case 3 -> now.set(random.nextInt(now.size()), instance(300 + round, "STARTING"));
        default -> {}
      }
      final String text = response("", now);
      final EurekaAnswer answer = read(text, false, 1 + random.nextInt(5000));
      answer.remember(memory);
      final EurekaAnswer fresh =
          new EurekaAnswer(
              MetadataNames.standard(), new EurekaMapping(), new EurekaAnswer.Memory(), false);
      fresh.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
      fresh.end();
      assertEquals(
          sortedReports(fresh), sortedReports(answer), "seed " + seed + ", round " + round);
      assertEquals(now.size(), memory.count());
    }
  }

  @Test
  void delta_updatesMemoryAndChecksHash() throws IOException {
    assertTrue(read(response("DOWN_10_UP_30_", instances(40)), false, 4096).remember(memory));
    final ObjectNode down = instance(1, "DOWN").put("actionType", "MODIFIED");
    final ObjectNode gone = instance(2, "UP").put("actionType", "DELETED");
    final ObjectNode added = instance(77, "UP").put("actionType", "ADDED");
    final EurekaAnswer delta =
        read(response("DOWN_11_UP_29_", List.of(down, gone, added)), true, 50);
    assertTrue(delta.remember(memory));
    assertEquals(
        List.of(ReportedStatus.DRAIN, ReportedStatus.UP),
        delta.reports().stream().map(SourceReport::status).toList());
    assertEquals(1, delta.deleted().size());
    assertEquals(40, memory.count());
    assertFalse(read(response("DOWN_11_UP_28_", List.of()), true, 50).remember(memory));
    final EurekaAnswer all = read(response("DOWN_10_UP_30_", instances(40)), false, 4096);
    assertTrue(all.remember(memory));
    assertEquals(40, all.reports().size());
    assertTrue(
        all.parsedInstances() >= 2 && all.parsedInstances() < 10,
        "only the instances of the delta are parsed: " + all.parsedInstances());
  }

  @Test
  void registryEmptiedAndFilledByDeltas_matchesItsHash() throws IOException {
    assertTrue(read(response("UP_1_", List.of(instance(1, "UP"))), false, 4096).remember(memory));
    assertTrue(
        read(response("", List.of(instance(1, "UP").put("actionType", "DELETED"))), true, 50)
            .remember(memory));
    assertEquals(0, memory.count());
    final StringBuilder hash = new StringBuilder();
    for (int number = 1; number <= 100; number++) {
      hash.setLength(0);
      hash.append("UP_").append(number).append('_');
      assertTrue(
          read(
                  response(
                      hash.toString(), List.of(instance(number, "UP").put("actionType", "ADDED"))),
                  true,
                  500)
              .remember(memory),
          "instance " + number);
    }
    assertEquals(100, memory.count());
  }

  @Test
  void singleElementsWithoutArrays_areRead() throws IOException {
    final String one = instance(1, "UP").toString();
    final EurekaAnswer answer =
        read(
            "{\"applications\":{\"application\":{\"name\":\"A\",\"instance\":" + one + "}}}",
            false,
            10);
    assertEquals(1, answer.reports().size());
    assertEquals(
        1,
        read("{\"application\":{\"name\":\"A\",\"instance\":[" + one + "]}}", false, 10)
            .reports()
            .size());
    assertEquals(1, read("{\"instance\":" + one + "}", false, 10).reports().size());
  }

  @Test
  void moreCautiousOverride_replacesStatus() throws IOException {
    final ObjectNode one = instance(1, "UP").put("overriddenstatus", "OUT_OF_SERVICE");
    final ObjectNode two = instance(2, "DOWN").put("overriddenstatus", "UP");
    final ObjectNode three = instance(3, "UNKNOWN");
    final List<SourceReport> reports =
        read(response("", List.of(one, two, three)), false, 100).reports();
    assertEquals(
        List.of(ReportedStatus.DRAIN, ReportedStatus.DRAIN, ReportedStatus.PENDING),
        reports.stream().map(SourceReport::status).toList());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        " ",
        "{",
        "{}",
        "[]",
        "hello",
        "<html></html>",
        "{\"applications\":{\"application\":[",
        "{\"applications\":{}}}",
        "{\"other\":{}}",
        "{\"applications\":{\"application\":[{\"instance\":[{\"app\":1 2}]}]}}",
        "{\"applications\":{\"application\":[{\"instance\":[{]}]}}",
        "{\"applications\" {}}",
        "{\"applications\":{\"application\":[{\"instance\":[{\"app\":\"a\"}, {\"app\":\"",
        "\"instance\":{}"
      })
  void malformedResponse_isRejected(final String text) {
    assertThrows(IOException.class, () -> read(text, false, 5));
  }

  @Test
  void excessiveNestingOrLength_isRejected() {
    assertThrows(
        IOException.class, () -> read("{\"applications\":" + "[".repeat(100), false, 1000));
    assertThrows(
        IOException.class,
        () ->
            read(
                "{\"applications\":{\"application\":[{\"instance\":[{\"app\":\""
                    + "x".repeat(1 << 20),
                false,
                1000));
    assertThrows(
        IOException.class,
        () -> read("{\"applications\":{\"x\":\"" + "x".repeat(1 << 20), false, 1000));
    assertThrows(
        IOException.class,
        () ->
            read(
                "{\"applications\":{\"application\":[{\"instance\":[{\"app\":"
                    + "[".repeat(50)
                    + "]".repeat(50)
                    + "}]}]}}",
                false,
                1000));
  }
}
