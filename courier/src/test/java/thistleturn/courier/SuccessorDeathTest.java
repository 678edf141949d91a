package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A newer process takes over and dies. Whatever it had done with a message that a client handed to
 * the older process, the client gets one answer, and the message is delivered as that answer says.
 *
 * <p>Each state is forced: the newer process is a {@link SuccessorProcess}, which takes one step at
 * a time, and is killed behind the one that the test names.
 */
@Tag("operators")
@Timeout(120)
final class SuccessorDeathTest {
  /** By then a request has its answer that is ever to get one: a client waits 400 ms. */
  private static final int ANSWER_LIMIT_MS = 5000;

  /** What a client gets that is left without an answer. */
  private static final int NO_ANSWER = -1;

  @TempDir private Path folder;
  private final List<Socket> clients = new ArrayList<>();
  private CourierHarness older;
  private SuccessorProcess newer;

  @BeforeEach
  void startProcesses() throws IOException {
    older = new CourierHarness(folder);
    older.operatorPortEnabled = true;
    try (ServerSocket free = new ServerSocket(0)) {
      older.listenPort = free.getLocalPort();
    }
    older.firstEndpoint.script(SentMessages::deliver);
    older.start();
    newer = new SuccessorProcess(folder.resolve("state"));
  }

  @AfterEach
  void stopProcesses() throws IOException {
    newer.close();
    older.close();
    for (final Socket client : clients) {
      client.close();
    }
  }

  /** Returns the ids of all messages that were sent, as often as each was. */
  private List<String> sentIds() {
    return SentMessages.ids(older.firstEndpoint).stream().sorted().toList();
  }

  /** A client hands a message in at the older process, and waits. */
  private Socket handIn(final String id) throws IOException {
    final Socket client = older.connect();
    clients.add(client);
    client.setSoTimeout(ANSWER_LIMIT_MS);
    client
        .getOutputStream()
        .write(CourierHarness.submitRequest(id, "once").getBytes(StandardCharsets.ISO_8859_1));
    return client;
  }

  /** The client goes away for good: one that ends its sending alone may still read. */
  private static void reset(final Socket client) throws IOException {
    client.setSoLinger(true, 0);
    client.close();
  }

  /** Returns the status that a client gets, or {@link #NO_ANSWER}. */
  private static int answer(final Socket client) throws IOException {
    try {
      return CourierHarness.readResponse(client.getInputStream()).status();
    } catch (final SocketTimeoutException e) {
      return NO_ANSWER;
    }
  }

  /** Returns once the older process has handled all that was sent to it before. */
  private void awaitHandled() {
    // Its loop reads what has come before it accepts this connection and reads that request.
    assertTrue(older.sendOperatorRequest("GET", "/-/metrics").startsWith("HTTP/1.1 200"));
  }

  private void awaitTakenBack() {
    older.await(
        "the older process to decide again",
        () -> older.logLines.stream().filter(line -> line.contains("is ready at")).count() == 2);
  }

  /** Each message of these was sent once, and nothing else was sent, by the end of all work. */
  private void assertSentOnce(final String... ids) throws IOException {
    awaitTakenBack();
    assertEquals(202, older.submit("last", "once").status(), "it serves again");
    final List<String> expected = new ArrayList<>(List.of(ids));
    expected.add("last");
    Collections.sort(expected);
    older.await("all calls to begin", () -> sentIds().containsAll(expected));
    // The journal owes nothing any more: no call can follow.
    older.await(
        "all messages to end",
        () -> older.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    assertEquals(expected, sentIds());
  }

  /** Nothing follows an answer: the connection ends, or stays silent. */
  private static void assertNothingFollows(final Socket client) throws IOException {
    assertEquals(0, client.getInputStream().available(), "bytes behind the answer");
  }

  private void assertAcceptedAndSentOnce(final String id, final Socket client) throws IOException {
    assertEquals(202, answer(client), "the answer to " + id);
    assertSentOnce(id);
    assertNothingFollows(client);
  }

  // ---------------------------------------------------------------- the four states of an offer

  /** Guards against an offer that is lost on the line between the two processes. */
  @Test
  void offerThatWasNotRead_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.run("read-byte");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against an offer that is lost in the memory of the process that died. */
  @Test
  void offerThatWasRead_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a second copy, and against a rejection, of what the journal has taken on. */
  @Test
  void offerThatWasJournaled_isAcceptedAndSentOnce() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against an answer that is lost with the line: all but its last byte has come. */
  @Test
  void offerWhoseAnswerWasNotRead_isAcceptedAndSentOnce() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "reply-accepted-partly m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a second answer, where the first one was on the line when the process died. */
  @Test
  void answersThatLieOnTheLineOfADeadProcess_reachTheirClientsOnce() throws Exception {
    newer.takeOver();
    final Socket answered = handIn("m1");
    newer.readOffer("m1");
    final Socket refused = handIn("m2");
    newer.readOffer("m2");
    // Its line closes with bytes unread: that is an error of the line for the older process.
    final Socket unread = handIn("m3");
    newer.run("read-byte", "journal m1");
    older.pause();
    newer.run("reply-accepted m1", "reply-rejected m2");
    newer.kill();
    older.resume();
    assertEquals(202, answer(answered));
    assertEquals(202, answer(unread));
    // A refusal that was read counts; one that was not leaves the message to the older process.
    final boolean refusalCounts = answer(refused) != 202;
    assertSentOnce(refusalCounts ? new String[] {"m1", "m3"} : new String[] {"m1", "m2", "m3"});
    for (final Socket client : List.of(answered, refused, unread)) {
      assertNothingFollows(client);
    }
  }

  // ---------------------------------------------------------------- what the journal tells

  /** Guards against a second copy of a message that the process that died has delivered. */
  @Test
  void offerThatWasDelivered_isAcceptedAndNotSentAgain() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "journal-call m1", "journal-delivery m1");
    newer.kill();
    assertEquals(202, answer(client));
    assertSentOnce();
  }

  /** Guards against an end that is told to the platform of a message whose client knows nothing. */
  @Test
  void offerThatHasEnded_isAcceptedAndItsEndIsReported() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "journal-end m1");
    newer.kill();
    assertEquals(202, answer(client));
    older.await("its notice", () -> older.hasOutcomeReport("m1", "deferred"));
    assertSentOnce();
  }

  /** Guards against an acceptance of a message that was shed before its client was answered. */
  @Test
  void offerThatWasShedUnanswered_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal-shed m1", "reply-rejected-partly m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a promise, or a second copy, where the journal has lost every trace. */
  @Test
  void offerWhoseTraceWasTrimmed_isNeitherAcceptedNorSent() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "journal-call m1", "journal-delivery m1", "trim-journal m1");
    newer.kill();
    assertEquals(500, answer(client));
    assertSentOnce();
  }

  // ---------------------------------------------------------------- while nobody decides

  /** Guards against a request that is written to a line that has ended. */
  @Test
  void messageHandedInAfterTheLineHasEnded_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    newer.run("close-connection");
    awaitHandled();
    final Socket client = handIn("m1");
    awaitHandled();
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a delivery for a client that has gone, and may have handed in anew. */
  @Test
  void clientThatGoesAwayBeforeTheDeath_isWithdrawn() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    reset(client);
    awaitHandled();
    newer.kill();
    assertSentOnce();
  }

  /** Guards against the same where nobody decides when the client goes. */
  @Test
  void clientThatGoesAwayWhileNobodyDecides_isWithdrawn() throws Exception {
    newer.takeOver();
    final Socket journaled = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    final Socket unread = handIn("m2");
    newer.run("read-byte", "close-connection");
    awaitHandled();
    final Socket late = handIn("m3");
    awaitHandled();
    reset(journaled);
    reset(unread);
    reset(late);
    awaitHandled();
    newer.kill();
    assertSentOnce();
  }

  /** Guards against requests that wait longer than their clients, for a folder that is in use. */
  @Test
  void messageThatNobodyDecidesOn_isRefusedWithATime() throws Exception {
    newer.takeOver();
    newer.run("close-connection");
    awaitHandled();
    final Socket client = handIn("m1");
    final CourierHarness.Response response = CourierHarness.readResponse(client.getInputStream());
    assertEquals(503, response.status());
    assertTrue(response.head().contains("retry-after:"), response.head());
    newer.kill();
    assertSentOnce();
  }

  /** Guards against clients that hear nothing of a process that cannot decide again, and ends. */
  @Test
  void olderProcessThatCannotDecideAgain_answersBeforeItEnds() throws Exception {
    newer.takeOver();
    final Socket offered = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "close-connection");
    assertEquals(500, answer(offered), "its fate is with the process that holds the folder");
    older.await("its end", () -> !older.isRunning());
    assertFalse(sentIds().contains("m1"));
  }

  /** Guards against the same in a process that was told to end before the newer one died. */
  @Test
  void olderProcessThatIsEnding_answersByTheJournal() throws Exception {
    newer.takeOver();
    final Socket journaled = handIn("m1");
    newer.readOffer("m1");
    final Socket read = handIn("m2");
    newer.readOffer("m2");
    newer.run("journal m1");
    older.terminate();
    awaitShutdown();
    newer.kill();
    assertEquals(202, answer(journaled), "the journal has it");
    assertEquals(503, answer(read), "nobody has it");
    assertTrue(older.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(List.of(), sentIds());
    try (CourierHarness next = older.successor()) {
      next.start();
      older.await("the call", () -> sentIds().equals(List.of("m1")));
    }
  }

  private void awaitShutdown() {
    older.await(
        "its shutdown",
        () -> !older.sendOperatorRequest("GET", "/-/ready").startsWith("HTTP/1.1 200"));
  }

  // ---------------------------------------------------------------- the steps of a takeover

  /** Guards against a takeover that ends within its first lines. */
  @Test
  void newerProcessThatDiesWithinTheSnapshot_leavesNoClientWithoutAnswer() throws Exception {
    newer.run("hello", "read-byte");
    final Socket client = handIn("m1");
    awaitHandled();
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a takeover that ends behind the newer process's own listener. */
  @Test
  void newerProcessThatDiesBehindItsListener_leavesNoClientWithoutAnswer() throws Exception {
    newer.takeOver();
    final Socket client = handIn("m1");
    newer.run("announce-listening");
    newer.readOffer("m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against what the first death leaves behind for the second one. */
  @Test
  void twoNewerProcessesThatDieInARow_leaveNoClientWithoutAnswer() throws Exception {
    newer.takeOver();
    final Socket first = handIn("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    newer.kill();
    assertEquals(202, answer(first));
    awaitTakenBack();
    older.await("its call", () -> sentIds().equals(List.of("m1")));
    try (SuccessorProcess second = new SuccessorProcess(folder.resolve("state"))) {
      second.takeOver();
      final Socket client = handIn("m2");
      second.readOffer("m2");
      second.kill();
      assertEquals(202, answer(client));
    }
    older.await("its call", () -> sentIds().equals(List.of("m1", "m2")));
  }
}
