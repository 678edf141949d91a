package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
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
import thistleturn.testkit.FreePorts;

/**
 * A newer process takes over and is killed. Whatever it had done with a message that a client sent
 * to the older process, the client gets one response, and the message is handled accordingly.
 *
 * <p>The newer process is a {@link SuccessorProcess}, which takes one step at a time and is killed
 * after the step that the test names.
 */
@Tag("operators")
@Timeout(120)
final class SuccessorDeathTest {
  /** The limit for a response; clients wait only 400 ms. */
  private static final int RESPONSE_TIMEOUT_MS = 5000;

  /** The status of a client that gets no response. */
  private static final int NO_RESPONSE = -1;

  @TempDir private Path folder;
  private final List<Socket> clients = new ArrayList<>();
  private CourierHarness older;
  private SuccessorProcess newer;

  @BeforeEach
  void startProcesses() throws IOException {
    older = new CourierHarness(folder);
    older.operatorPortEnabled = true;
    older.listenPort = FreePorts.next();
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

  /** Returns the ids of all messages that were sent, with duplicates. */
  private List<String> sentIds() {
    return SentMessages.ids(older.firstEndpoint).stream().sorted().toList();
  }

  /** Submits a message to the older process from a new client, without reading the response. */
  private Socket submit(final String id) throws IOException {
    final Socket client = older.connect();
    clients.add(client);
    client.setSoTimeout(RESPONSE_TIMEOUT_MS);
    client
        .getOutputStream()
        .write(CourierHarness.submitRequest(id, "once").getBytes(StandardCharsets.ISO_8859_1));
    return client;
  }

  /** Resets a client's connection: one that only closes its sending side may still read. */
  private static void reset(final Socket client) throws IOException {
    client.setSoLinger(true, 0);
    client.close();
  }

  /** Returns the status of the response to a client, or {@link #NO_RESPONSE}. */
  private static int readStatus(final Socket client) throws IOException {
    try {
      return CourierHarness.readResponse(client.getInputStream()).status();
    } catch (final SocketTimeoutException e) {
      return NO_RESPONSE;
    }
  }

  /** Returns once the older process has read all earlier requests. */
  private void awaitRequestsRead() {
    // Its event loop reads what has arrived before it accepts this connection and reads the
    // request.
    assertTrue(older.sendOperatorRequest("GET", "/-/metrics").startsWith("HTTP/1.1 200"));
  }

  private void awaitResumed() {
    older.await(
        "the older process to serve again",
        () -> older.logLines.stream().filter(line -> line.contains("is ready at")).count() == 2);
  }

  /** Checks that by the end of all work each of these messages was sent once, and no other. */
  private void assertSentOnce(final String... ids) throws IOException {
    awaitResumed();
    assertEquals(202, older.submit("last", "once").status(), "the older process serves again");
    final List<String> expected = new ArrayList<>(List.of(ids));
    expected.add("last");
    Collections.sort(expected);
    older.await("all calls to begin", () -> sentIds().containsAll(expected));
    // No message is pending, so no further call can follow.
    older.await(
        "all messages to end",
        () -> older.sendOperatorRequest("GET", "/-/metrics").contains("svc_in_flight 0\n"));
    assertEquals(expected, sentIds());
  }

  /** Checks that nothing follows the response on its connection. */
  private static void assertNothingFollows(final Socket client) throws IOException {
    assertEquals(0, client.getInputStream().available(), "bytes after the response");
  }

  private void assertAcceptedAndSentOnce(final String id, final Socket client) throws IOException {
    assertEquals(202, readStatus(client), "the response to " + id);
    assertSentOnce(id);
    assertNothingFollows(client);
  }

  // ---------------------------------------------------------------- the states of an offer

  /** Guards against an offer that is lost on the connection between the two processes. */
  @Test
  void unreadOffer_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.run("read-byte");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against an offer that is lost in the memory of the killed process. */
  @Test
  void readOffer_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a repeat or a rejection of a message that the journal has accepted. */
  @Test
  void journaledOffer_isAcceptedAndSentOnce() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a reply that is lost with the connection, all but its last byte received. */
  @Test
  void offerWithPartialReply_isAcceptedAndSentOnce() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "reply-accepted-partly m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against a second response when the first reply was unread as the process was killed. */
  @Test
  void unreadRepliesOfKilledProcess_reachTheirClientsOnce() throws Exception {
    newer.takeOver();
    final Socket answered = submit("m1");
    newer.readOffer("m1");
    final Socket rejected = submit("m2");
    newer.readOffer("m2");
    // The newer process closes with bytes unread, which the older one sees as a connection error.
    final Socket unread = submit("m3");
    newer.run("read-byte", "journal m1");
    older.pause();
    newer.run("reply-accepted m1", "reply-rejected m2");
    newer.kill();
    older.resume();
    assertEquals(202, readStatus(answered));
    assertEquals(202, readStatus(unread));
    // A rejection that was read is final; without it the older process decides on the message.
    final boolean rejectionWasRead = readStatus(rejected) != 202;
    assertSentOnce(rejectionWasRead ? new String[] {"m1", "m3"} : new String[] {"m1", "m2", "m3"});
    for (final Socket client : List.of(answered, rejected, unread)) {
      assertNothingFollows(client);
    }
  }

  // ---------------------------------------------------------------- what the journal records

  /** Guards against a repeat of a message that the killed process has delivered. */
  @Test
  void deliveredOffer_isAcceptedAndNotSentAgain() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "journal-call m1", "journal-delivery m1");
    newer.kill();
    assertEquals(202, readStatus(client));
    assertSentOnce();
  }

  /** Guards against an outcome report for a message whose client got no response. */
  @Test
  void endedOffer_isAcceptedAndItsOutcomeIsReported() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "journal-end m1");
    newer.kill();
    assertEquals(202, readStatus(client));
    older.await("the outcome report", () -> older.hasOutcomeReport("m1", "deferred"));
    assertSentOnce();
  }

  /** Guards against acceptance of a message that was shed before its client got a response. */
  @Test
  void shedOfferWithPartialReply_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal-shed m1", "reply-rejected-partly m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against acceptance or a repeat of a message that was trimmed from the journal. */
  @Test
  void offerTrimmedFromJournal_isNeitherAcceptedNorSent() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "journal-call m1", "journal-delivery m1", "trim-journal m1");
    newer.kill();
    assertEquals(500, readStatus(client));
    assertSentOnce();
  }

  // ---------------------------------------------------------------- while no process decides

  /** Guards against a request that is lost on a closed connection between the processes. */
  @Test
  void messageSubmittedAfterDisconnect_isDecidedByOlderProcess() throws Exception {
    newer.takeOver();
    newer.run("close-connection");
    awaitRequestsRead();
    final Socket client = submit("m1");
    awaitRequestsRead();
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against delivery for a client that has disconnected and may have submitted again. */
  @Test
  void clientResetBeforeKill_messageIsWithdrawn() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    reset(client);
    awaitRequestsRead();
    newer.kill();
    assertSentOnce();
  }

  /** Guards against the same when no process decides as the client disconnects. */
  @Test
  void clientResetWhileNoProcessDecides_messageIsWithdrawn() throws Exception {
    newer.takeOver();
    final Socket journaled = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    final Socket unread = submit("m2");
    newer.run("read-byte", "close-connection");
    awaitRequestsRead();
    final Socket late = submit("m3");
    awaitRequestsRead();
    reset(journaled);
    reset(unread);
    reset(late);
    awaitRequestsRead();
    newer.kill();
    assertSentOnce();
  }

  /** Guards against requests that wait for a folder in use for longer than their clients do. */
  @Test
  void messageWhileNoProcessDecides_isRejectedWithRetryAfter() throws Exception {
    newer.takeOver();
    newer.run("close-connection");
    awaitRequestsRead();
    final Socket client = submit("m1");
    final CourierHarness.Response response = CourierHarness.readResponse(client.getInputStream());
    assertEquals(503, response.status());
    assertTrue(response.head().contains("retry-after:"), response.head());
    newer.kill();
    assertSentOnce();
  }

  /** Guards against missing responses of a process that cannot resume, and exits. */
  @Test
  void olderProcessCannotResume_respondsBeforeItExits() throws Exception {
    newer.takeOver();
    final Socket offered = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1", "close-connection");
    assertEquals(500, readStatus(offered), "the process that holds the folder decides on it");
    older.await("the older process to exit", () -> !older.isRunning());
    assertFalse(sentIds().contains("m1"));
  }

  /** Guards against the same in a process that shuts down before the newer one is killed. */
  @Test
  void olderProcessShuttingDown_respondsByJournal() throws Exception {
    newer.takeOver();
    final Socket journaled = submit("m1");
    newer.readOffer("m1");
    final Socket read = submit("m2");
    newer.readOffer("m2");
    newer.run("journal m1");
    older.terminate();
    awaitShutdown();
    newer.kill();
    assertEquals(202, readStatus(journaled), "the message is in the journal");
    assertEquals(503, readStatus(read), "no process has the message");
    assertTrue(older.terminate().waitFor(CourierHarness.TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(List.of(), sentIds());
    try (CourierHarness next = older.successor()) {
      next.start();
      older.await("the call", () -> sentIds().equals(List.of("m1")));
    }
  }

  private void awaitShutdown() {
    older.await(
        "the shutdown to begin",
        () -> !older.sendOperatorRequest("GET", "/-/ready").startsWith("HTTP/1.1 200"));
  }

  // ---------------------------------------------------------------- the steps of a takeover

  /** Guards against missing responses when a takeover ends within the snapshot. */
  @Test
  void newerProcessKilledDuringSnapshot_clientGetsResponse() throws Exception {
    newer.run("hello", "read-byte");
    final Socket client = submit("m1");
    awaitRequestsRead();
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against missing responses when the newer process is killed after it listens. */
  @Test
  void newerProcessKilledWhileListening_clientGetsResponse() throws Exception {
    newer.takeOver();
    final Socket client = submit("m1");
    newer.run("announce-listening");
    newer.readOffer("m1");
    newer.kill();
    assertAcceptedAndSentOnce("m1", client);
  }

  /** Guards against state that the first killed process leaves behind for the second one. */
  @Test
  void twoNewerProcessesKilledInARow_clientsGetResponses() throws Exception {
    newer.takeOver();
    final Socket first = submit("m1");
    newer.readOffer("m1");
    newer.run("journal m1");
    newer.kill();
    assertEquals(202, readStatus(first));
    awaitResumed();
    older.await("the call", () -> sentIds().equals(List.of("m1")));
    try (SuccessorProcess second = new SuccessorProcess(folder.resolve("state"))) {
      second.takeOver();
      final Socket client = submit("m2");
      second.readOffer("m2");
      second.kill();
      assertEquals(202, readStatus(client));
    }
    older.await("the call", () -> sentIds().equals(List.of("m1", "m2")));
  }
}
