package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
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
import thistleturn.courier.port.Submission;
import thistleturn.courier.transport.Connector;
import thistleturn.courier.transport.SocketUnavailableException;
import thistleturn.decisions.model.AttemptResult;

/**
 * The newer process's side of a handover: asks the serving process for its snapshot, and from then
 * on receives what that process's clients submit and the outcomes of its calls. Used on one event
 * loop.
 */
public final class HandoverClient implements RemoteCallExecutor {

  /**
   * Receives what the older process reports once this process decides. Called on the event loop.
   */
  public interface Listener {
    /** A client has submitted a message at the older process. */
    void onMessageSubmitted(StoredMessage message, Ingress.Reply reply);

    /** The client of a submission has disconnected before it received a reply. */
    void withdraw(Submission submission);

    /** The outcome of one message in a call that the older process has in flight. */
    void onRemoteOutcome(String messageId, Dispatcher.DispatchOutcome outcome);

    /**
     * The connection to the older process has closed. The process may still run: its calls in
     * flight may continue until it has ended ({@link EarlierProcesses}).
     */
    void onPredecessorDisconnected();
  }

  /** The progress of the handover. */
  private enum State {
    /** The snapshot is not complete yet. */
    REQUESTING,
    /** This process has taken over, but has no listener until it has opened the journal. */
    AWAITING_LISTENER,
    /** The listener receives each line. */
    FORWARDING,
    /** The connection has closed; lines received before stay buffered until there is a listener. */
    CLOSED
  }

  private final PredecessorConnection connection = new PredecessorConnection();
  private final ReceivedOffers offers = new ReceivedOffers();
  private final SnapshotAssembler snapshotAssembler = new SnapshotAssembler();
  private final Consumer<HandoverSnapshot> onSnapshot;
  private final Runnable onFailure;

  /** Lines that were received before there was a listener. */
  private final List<PredecessorLine> bufferedLines = new ArrayList<>();

  private State state = State.REQUESTING;
  private Listener listener;

  /** Called when the older process was told to reload the configuration. */
  private Runnable reloadListener = () -> {};

  private HandoverClient(final Consumer<HandoverSnapshot> onSnapshot, final Runnable onFailure) {
    this.onSnapshot = onSnapshot;
    this.onFailure = onFailure;
  }

  /**
   * Asks the process that serves from a state folder to hand over. Calls exactly one of the two on
   * the loop: {@code onSnapshot} once the process has handed over and released the journal, or
   * {@code onFailure} if it has not, and then nothing has changed.
   */
  public static HandoverClient requestHandover(
      final EventLoop loop,
      final Path stateFolder,
      final Consumer<HandoverSnapshot> onSnapshot,
      final Runnable onFailure) {
    final HandoverClient client = new HandoverClient(onSnapshot, onFailure);
    client.connect(loop, stateFolder);
    return client;
  }

  /** Returns the executor for when there is no older process: it has no calls. */
  public static RemoteCallExecutor none() {
    return NoRemoteCalls.INSTANCE;
  }

  private void connect(final EventLoop loop, final Path stateFolder) {
    final Bootstrap template =
        new Bootstrap()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    connection.addTo(channel);
                  }
                });
    try {
      Connector.connect(
          loop,
          NioDomainSocketChannel::new,
          template,
          LineConnection.socketAddress(stateFolder),
          this::onConnectCompleted);
    } catch (final SocketUnavailableException e) {
      // The connector has logged it. The caller is notified after this method has returned.
      loop.execute(connection::onClosed);
    }
  }

  private void onConnectCompleted(final ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      connection.send(SuccessorLine.Hello.ofThisVersion());
    } else {
      connection.onClosed();
    }
  }

  @Override
  public void setListener(final Listener newListener) {
    listener = newListener;
    if (state == State.AWAITING_LISTENER) {
      state = State.FORWARDING;
    }
    final List<PredecessorLine> earlierLines = List.copyOf(bufferedLines);
    bufferedLines.clear();
    earlierLines.forEach(this::dispatch);
    if (state == State.CLOSED) {
      listener.onPredecessorDisconnected();
    }
  }

  /** Sets what is called when the older process was told to reload the configuration. */
  public void setReloadListener(final Runnable newListener) {
    reloadListener = newListener;
  }

  /** Notifies the older process that this one accepts clients. */
  public void announceListening() {
    connection.send(new SuccessorLine.Listening());
  }

  @Override
  public void abandonCall(final long call, final AttemptResult result) {
    connection.send(new SuccessorLine.AbandonCall(call, result));
  }

  private void onSnapshotLine(final SnapshotLine line) {
    if (snapshotAssembler.add(line)) {
      state = State.AWAITING_LISTENER;
      onSnapshot.accept(snapshotAssembler.toSnapshot());
    }
  }

  private void dispatch(final PredecessorLine line) {
    if (line instanceof PredecessorLine.Offer offer) {
      offers.add(offer);
      listener.onMessageSubmitted(offer.message(), new ForwardedReply(offer.offerNumber()));
    } else if (line instanceof PredecessorLine.Withdrawal withdrawal) {
      final Submission withdrawn = offers.remove(withdrawal);
      if (withdrawn != null) {
        listener.withdraw(withdrawn);
      }
    } else if (line instanceof PredecessorLine.CallOutcome outcome) {
      listener.onRemoteOutcome(outcome.messageId(), outcome.outcome());
    } else if (line instanceof PredecessorLine.ReloadRequest) {
      reloadListener.run();
    }
  }

  private final class PredecessorConnection extends LineConnection {
    @Override
    void onLine(final JsonNode line) {
      try {
        switch (state) {
          case REQUESTING -> onSnapshotLine(SnapshotLine.fromJson(line));
          case AWAITING_LISTENER -> bufferedLines.add(PredecessorLine.fromJson(line));
          case FORWARDING -> dispatch(PredecessorLine.fromJson(line));
          case CLOSED ->
              throw new IllegalStateException("line received after the connection closed: " + line);
        }
      } catch (final IOException e) {
        throw new IllegalArgumentException("handover: cannot read line " + line, e);
      }
    }

    @Override
    void onClosed() {
      final State before = state;
      state = State.CLOSED;
      if (before == State.REQUESTING) {
        onFailure.run();
      } else if (before == State.FORWARDING) {
        listener.onPredecessorDisconnected();
      }
    }
  }

  /** Sends the reply to a submitted message to the process to which the client is connected. */
  private final class ForwardedReply implements Ingress.Reply {
    private final long offerNumber;

    private ForwardedReply(final long offerNumber) {
      this.offerNumber = offerNumber;
    }

    @Override
    public void accepted() {
      connection.send(new SuccessorLine.Accepted(offerNumber));
    }

    @Override
    public void rejected(final Ingress.RejectionReason reason, final long retryAfterUs) {
      connection.send(new SuccessorLine.Rejected(offerNumber, reason, retryAfterUs));
    }

    @Override
    public void failed() {
      connection.send(new SuccessorLine.Failed(offerNumber));
    }

    @Override
    public void invalid(final Ingress.InvalidReason reason) {
      connection.send(new SuccessorLine.Invalid(offerNumber, reason));
    }
  }
}
