package thistleturn.courier.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Json;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.MessageDisposition;

/**
 * The exact text of the lines with which a courier hands over to its successor. The two processes
 * may be of different versions, so these tests must fail if any of the lines changes.
 */
final class HandoverLineFormatTest {
  private static final List<String> LINES =
      List.of(
          "{\"t\":\"endpoint\",\"number\":4,\"name\":\"e-1\",\"condition\":\"LISTED\","
              + "\"host\":\"127.0.0.1\",\"port\":9001,\"zone\":\"a\",\"weight\":2.5,"
              + "\"kind\":\"std\",\"dest\":57}",
          "{\"t\":\"classes\",\"trust\":1.0E7,\"mean\":[\"1000.0\",\"0.5\"],\"samples\":[7,8]}",
          "{\"t\":\"lane\",\"endpoint\":4,\"figures\":[\"3.0\",\"Infinity\"],"
              + "\"moments\":[0,9223372036854775807]}",
          "{\"t\":\"node\",\"endpoint\":4,\"figures\":[\"0.25\"],\"moments\":[5]}",
          "{\"t\":\"call\",\"number\":11,\"endpoint\":4,\"dest\":57,\"sent\":123456,"
              + "\"ids\":[\"m1\",\"m2\"]}",
          "{\"t\":\"yours\"}");

  private static EndpointDirectory.Entry entry(final EndpointState state) {
    return new EndpointDirectory.Entry(
        "e-1", state, new InetSocketAddress("127.0.0.1", 9001), "a", 2.5, "std", 57);
  }

  private static HandoverSnapshot snapshot() {
    return new HandoverSnapshot(
        List.of(new HandoverSnapshot.NumberedEndpoint(4, entry(EndpointState.LISTED))),
        new LearnedState(
            new double[] {1000, 0.5},
            new int[] {7, 8},
            1e7,
            List.of(
                new LearnedState.LearnedRoute(
                    4, new double[] {3, Double.POSITIVE_INFINITY}, new long[] {0, Long.MAX_VALUE})),
            List.of(new LearnedState.LearnedEndpoint(4, new double[] {0.25}, new long[] {5}))),
        List.of(new HandoverSnapshot.InFlightRemoteCall(11, 4, 57, 123_456, List.of("m1", "m2"))));
  }

  @Test
  void snapshot_isWrittenAsTheseLines() {
    assertEquals(LINES, HandoverCodec.encodeSnapshot(snapshot()));
  }

  @Test
  void theseLines_areReadAsTheSnapshot() throws IOException {
    final HandoverSnapshot read = HandoverCodec.decodeSnapshot(LINES);
    assertEquals(snapshot().endpoints(), read.endpoints());
    assertEquals(snapshot().calls(), read.calls());
    assertArrayEquals(new double[] {1000, 0.5}, read.learnedState().classMeanUs());
    assertArrayEquals(new int[] {7, 8}, read.learnedState().classSamples());
    assertEquals(1e7, read.learnedState().trustedIdleUs());
    assertEquals(4, read.learnedState().routes().get(0).endpointId());
    assertArrayEquals(
        new double[] {3, Double.POSITIVE_INFINITY}, read.learnedState().routes().get(0).figures());
    assertArrayEquals(
        new long[] {0, Long.MAX_VALUE}, read.learnedState().routes().get(0).moments());
    assertEquals(4, read.learnedState().endpoints().get(0).endpointId());
    assertArrayEquals(new double[] {0.25}, read.learnedState().endpoints().get(0).figures());
    assertArrayEquals(new long[] {5}, read.learnedState().endpoints().get(0).moments());
  }

  @Test
  void protocolVersion_isFour() {
    assertEquals(4, HandoverCodec.PROTOCOL_VERSION);
    assertEquals(3, LearnedState.VERSION);
  }

  @Test
  void socketAddress_isNamedHandover() {
    assertEquals(
        Path.of("state", "handover"), LineConnection.socketAddress(Path.of("state")).getPath());
  }

  private static StoredMessage readOffer(final String line) throws IOException {
    return ((PredecessorLine.Offer) PredecessorLine.fromJson(Json.read(line))).message();
  }

  private static Dispatcher.DispatchOutcome readOutcome(final String line) throws IOException {
    return ((PredecessorLine.CallOutcome) PredecessorLine.fromJson(Json.read(line))).outcome();
  }

  @Test
  void offerWithIdempotencyKey_isThisLine() throws IOException {
    final String line =
        "{\"t\":\"offer\",\"number\":3,\"id\":\"m1\",\"class\":\"keyed\",\"key\":\"key-1\","
            + "\"dest\":57,\"valid\":5000000,\"body\":\"AQL/\"}";
    final byte[] body = {1, 2, (byte) 0xFF};
    final StoredMessage message = new StoredMessage("m1", "keyed", "key-1", 57, 4_000_000, body);
    assertEquals(line, new PredecessorLine.Offer(3, message, 5_000_000).toText());

    final StoredMessage read = readOffer(line);
    assertEquals("m1", read.id());
    assertEquals("keyed", read.className());
    assertEquals("key-1", read.idempotencyKey());
    assertEquals(57, read.destination());
    assertEquals(5_000_000, read.deadlineUs());
    assertArrayEquals(body, read.body());
  }

  @Test
  void offerWithoutIdempotencyKey_isThisLine() throws IOException {
    final String line =
        "{\"t\":\"offer\",\"number\":4,\"id\":\"m2\",\"class\":\"safe\",\"key\":null,"
            + "\"dest\":57,\"valid\":5000000,\"body\":\"\"}";
    final StoredMessage message = new StoredMessage("m2", "safe", null, 57, 4_000_000, new byte[0]);
    assertEquals(line, new PredecessorLine.Offer(4, message, 5_000_000).toText());
    assertNull(readOffer(line).idempotencyKey());
  }

  @Test
  void outcomeWithLoadReport_isThisLine() throws IOException {
    final String line =
        "{\"t\":\"outcome\",\"call\":11,\"id\":\"m1\",\"result\":\"REFUSED\",\"over\":false,"
            + "\"wait\":2000000,\"left\":0.5,\"limit\":40.0}";
    final Dispatcher.DispatchOutcome outcome =
        new Dispatcher.DispatchOutcome(
            AttemptResult.REFUSED, false, 2_000_000, new LoadReport(0.5, 40));
    assertEquals(line, new PredecessorLine.CallOutcome(11, "m1", outcome).toText());
    assertEquals(outcome, readOutcome(line));
  }

  @Test
  void outcomeWithoutLoadReport_isThisLine() throws IOException {
    final String line =
        "{\"t\":\"outcome\",\"call\":11,\"id\":\"m1\",\"result\":\"DELIVERED\",\"over\":true,"
            + "\"wait\":0}";
    final Dispatcher.DispatchOutcome outcome =
        new Dispatcher.DispatchOutcome(AttemptResult.DELIVERED, true, 0, null);
    assertEquals(line, new PredecessorLine.CallOutcome(11, "m1", outcome).toText());
    assertEquals(outcome, readOutcome(line));
  }

  @Test
  void outcomeAfterWhichNoAttemptFollows_isThisLine() throws IOException {
    final String line =
        "{\"t\":\"outcome\",\"call\":11,\"id\":\"m1\",\"result\":\"NOT_SENT\",\"over\":false,"
            + "\"wait\":0,\"last\":true}";
    final Dispatcher.DispatchOutcome outcome =
        new Dispatcher.DispatchOutcome(
            AttemptResult.NOT_SENT, MessageDisposition.NO_FURTHER_ATTEMPT, 0, null);
    assertEquals(line, new PredecessorLine.CallOutcome(11, "m1", outcome).toText());
    assertEquals(outcome, readOutcome(line));
  }

  @Test
  void results_areWrittenByTheseNames() throws IOException {
    final List<String> names =
        List.of(
            "DELIVERED",
            "ERROR",
            "REFUSED",
            "TIMED_OUT",
            "NO_CONNECTION",
            "RESET",
            "CANCELLED",
            "NOT_SENT",
            "STALE");
    final List<String> written = new ArrayList<>();
    for (final AttemptResult result : AttemptResult.values()) {
      final Dispatcher.DispatchOutcome outcome =
          new Dispatcher.DispatchOutcome(result, true, 0, null);
      written.add(
          new PredecessorLine.CallOutcome(1, "m1", outcome).toJson().path("result").asText());
    }
    assertEquals(names, written);
    for (int index = 0; index < names.size(); index++) {
      final String line =
          "{\"t\":\"outcome\",\"id\":\"m1\",\"result\":\"" + names.get(index) + "\"}";
      assertEquals(AttemptResult.values()[index], readOutcome(line).result());
    }
  }

  @Test
  void endpointStates_areWrittenByTheseNames() throws IOException {
    final List<String> written = new ArrayList<>();
    for (final EndpointState state : EndpointState.values()) {
      final HandoverSnapshot one =
          new HandoverSnapshot(
              List.of(new HandoverSnapshot.NumberedEndpoint(4, entry(state))),
              snapshot().learnedState(),
              List.of());
      final List<String> lines = HandoverCodec.encodeSnapshot(one);
      written.add(Json.read(lines.get(0)).path("condition").asText());
      assertEquals(state, HandoverCodec.decodeSnapshot(lines).endpoints().get(0).entry().state());
    }
    assertEquals(List.of("LISTED", "DRAINING", "GONE"), written);
  }

  @Test
  void reasonsOfReplies_areWrittenByTheseNames() {
    assertEquals(
        List.of("NO_ROOM", "DECIDED"),
        Arrays.stream(Ingress.RejectionReason.values()).map(Enum::name).toList());
    assertEquals(
        List.of("NO_DESTINATION", "HELD_ALREADY"),
        Arrays.stream(Ingress.InvalidReason.values()).map(Enum::name).toList());
  }
}
