package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.SocketUnavailableException;
import thistleturn.decisions.model.AttemptResult;

/**
 * The older process, as the newer one sees it: first it hands over, then it is a front and a
 * carrier for it.
 */
public final class HandoverClient implements RemoteCallExecutor {
  private final PredecessorConnection connection = new PredecessorConnection();
  private Consumer<HandoverSnapshot> onSnapshot;
  private Runnable onFailure;
  private Listener listener;

  /** Who decides now. Called on its event loop. */
  public interface Listener {
    /** A client has handed a message in at the older process. */
    void onMessageSubmitted(StoredMessage held, Ingress.Reply reply);

    /** That client went before it was answered. */
    void withdraw(String id, long destination);

    /** The outcome of one message's part in a call that the older process has out. */
    void onRemoteOutcome(String messageId, Dispatcher.DispatchOutcome answer);

    /** The older process has ended; what it had out may have run. */
    void onPredecessorGone();
  }

  private HandoverClient() {}

  /** Nobody: there is no older process, and nothing may be asked of it. */
  public static HandoverClient none() {
    return new HandoverClient();
  }

  /**
   * Asks the process that serves to hand over. Exactly one of the two is called, on the loop:
   * {@code taken} when it has, and then the journal is free, or {@code failed}, and nothing has
   * changed.
   */
  public static HandoverClient requestHandover(
      final EventLoop loop,
      final Path folder,
      final Consumer<HandoverSnapshot> taken,
      final Runnable failed) {
    final HandoverClient predecessor = new HandoverClient();
    predecessor.onSnapshot = taken;
    predecessor.onFailure = failed;
    final Bootstrap template =
        new Bootstrap()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    predecessor.connection.addTo(channel);
                  }
                });
    try {
      Connector.connect(
          loop,
          NioDomainSocketChannel::new,
          template,
          HandoverCodec.socketAddress(folder),
          predecessor::onConnectCompleted);
    } catch (final SocketUnavailableException e) {
      loop.execute(predecessor.connection::onClosed);
    }
    return predecessor;
  }

  private void onConnectCompleted(final ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      connection.writeLine(
          HandoverCodec.newLine("hello").put("version", HandoverCodec.PROTOCOL_VERSION));
      connection.flush();
    } else {
      connection.onClosed();
    }
  }

  @Override
  public void setListener(final Listener to) {
    listener = to;
    connection.dispatchBufferedLines();
  }

  /** This process takes clients. */
  public void announceListening() {
    connection.writeLine(HandoverCodec.newLine("listening"));
    connection.flush();
  }

  @Override
  public void abandonCall(final long call, final AttemptResult result) {
    connection.writeLine(
        HandoverCodec.newLine("abandon").put("call", call).put("result", result.name()));
    connection.flush();
  }

  private final class PredecessorConnection extends HandoverCodec.LineConnection {
    private final HandoverCodec.SnapshotAssembler snapshotAssembler =
        new HandoverCodec.SnapshotAssembler();

    /**
     * What was said since it handed over, while nobody decides yet: the journal may take its time
     * to open.
     */
    private final List<JsonNode> bufferedLines = new ArrayList<>();

    private boolean closed;

    @Override
    void onLine(final String what, final JsonNode line) {
      try {
        if (onSnapshot == null && listener == null) {
          bufferedLines.add(line);
        } else if (onSnapshot == null) {
          dispatch(what, line);
        } else if (snapshotAssembler.add(what, line)) {
          final Consumer<HandoverSnapshot> heir = onSnapshot;
          onSnapshot = null;
          heir.accept(snapshotAssembler.toSnapshot());
        }
      } catch (final IOException e) {
        throw new IllegalArgumentException("handover: " + line, e);
      }
    }

    private void dispatchBufferedLines() {
      final List<JsonNode> lines = List.copyOf(bufferedLines);
      bufferedLines.clear();
      lines.forEach(line -> onLine(line.path("t").asText(), line));
      if (closed) {
        listener.onPredecessorGone();
      }
    }

    private void dispatch(final String what, final JsonNode line) throws IOException {
      switch (what) {
        case "offer" ->
            listener.onMessageSubmitted(
                HandoverCodec.decodeOffer(line), new ForwardedReply(line.path("number").asLong()));
        case "withdraw" -> listener.withdraw(line.path("id").asText(), line.path("dest").asLong());
        case "outcome" ->
            listener.onRemoteOutcome(line.path("id").asText(), HandoverCodec.decodeOutcome(line));
        default -> throw new IOException("unknown line " + what);
      }
    }

    @Override
    void onClosed() {
      closed = true;
      if (onSnapshot != null) {
        onSnapshot = null;
        onFailure.run();
      } else if (listener != null) {
        listener.onPredecessorGone();
      }
    }
  }

  /** Takes an answer back to the process that the client is connected to. */
  private final class ForwardedReply implements Ingress.Reply {
    private final long offerNumber;

    private ForwardedReply(final long number) {
      this.offerNumber = number;
    }

    private void send(final String kind, final Enum<?> why, final long retryAfterUs) {
      final ObjectNode line =
          HandoverCodec.newLine("reply")
              .put("number", offerNumber)
              .put("kind", kind)
              .put("retry", retryAfterUs);
      if (why != null) {
        line.put("why", why.name());
      }
      connection.writeLine(line);
      connection.flush();
    }

    @Override
    public void accepted() {
      send("accepted", null, 0);
    }

    @Override
    public void rejected(final Ingress.RejectionReason why, final long retryAfterUs) {
      send("refused", why, retryAfterUs);
    }

    @Override
    public void failed() {
      send("failed", null, 0);
    }

    @Override
    public void invalid(final Ingress.InvalidReason fault) {
      send("unusable", fault, 0);
    }
  }
}
