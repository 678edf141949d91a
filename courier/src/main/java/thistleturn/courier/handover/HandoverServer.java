package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.Ingress;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Event;
import thistleturn.courier.runtime.Log;
import thistleturn.courier.runtime.TransientFailures;
import thistleturn.courier.transport.AcceptRetryHandler;
import thistleturn.decisions.model.AttemptResult;

/**
 * The side of the process that serves: it waits for a newer one, and hands over to the first that
 * asks.
 */
public final class HandoverServer {
  private static final long RETRY_AFTER_US = 1_000_000;

  /** How often an address for newer processes is asked for that the system does not give. */
  private static final int MAX_LISTEN_ATTEMPTS = 800;

  private final HandoverSource source;
  private Channel listener;
  private SuccessorConnection successor;

  /** Not listening yet. */
  public HandoverServer(final HandoverSource giver) {
    this.source = giver;
  }

  /** Waits for a newer process from now on; the folder must be locked by this one. */
  public void listen(final EventLoop loop, final Path folder) {
    listen(loop, folder, MAX_LISTEN_ATTEMPTS);
  }

  private void retryListen(
      final EventLoop loop, final Path folder, final int tries, final Throwable failure) {
    if (tries > 1 && TransientFailures.isTransient(failure)) {
      Log.event(Event.START_RETRIED, "step", "listen to a newer process", "cause", failure);
      loop.schedule(
          () -> listen(loop, folder, tries - 1),
          TransientFailures.RETRY_DELAY_MS,
          TimeUnit.MILLISECONDS);
    } else {
      Log.info("handover: no newer process can take over: " + failure);
    }
  }

  private void listen(final EventLoop loop, final Path folder, final int tries) {
    final UnixDomainSocketAddress address = HandoverCodec.socketAddress(folder);
    try {
      // What an earlier process left: nobody can be listening there while we hold the lock.
      Files.deleteIfExists(address.getPath());
    } catch (final IOException e) {
      retryListen(loop, folder, tries, e);
      return;
    }
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerDomainSocketChannel.class)
            .handler(new AcceptRetryHandler())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    new SuccessorConnection().addTo(channel);
                  }
                })
            .bind(address)
            .addListener(
                bound -> {
                  if (!bound.isSuccess()) {
                    retryListen(loop, folder, tries, bound.cause());
                  }
                })
            .channel();
  }

  private final class SuccessorConnection extends HandoverCodec.LineConnection
      implements Successor {
    private final Map<Long, Ingress.Reply> pendingReplies = new HashMap<>();
    private long lastOfferNumber;

    @Override
    void onLine(final String what, final JsonNode line) {
      if (successor != this) {
        if (successor != null
            || !what.equals("hello")
            || line.path("version").asInt() != HandoverCodec.PROTOCOL_VERSION) {
          Log.info(
              "handover: refused: "
                  + (successor != null ? "it is under way" : "another version: " + line));
          close();
          return;
        }
        handOver();
        return;
      }
      switch (what) {
        case "listening" -> source.onSuccessorListening();
        case "abandon" ->
            source.abandonCall(
                line.path("call").asLong(), AttemptResult.valueOf(line.path("result").asText()));
        case "reply" -> completeReply(line);
        default -> Log.info("handover: unknown line " + what);
      }
    }

    private void handOver() {
      try {
        final HandoverSnapshot inheritance = source.handOver(this);
        successor = this;
        // The newer one listens there in its turn.
        listener.close();
        HandoverCodec.writeSnapshot(inheritance, this::writeLine);
        flush();
      } catch (final IOException e) {
        Log.info("handover: not now: " + e.getMessage());
        close();
      }
    }

    private void completeReply(final JsonNode line) {
      final Ingress.Reply reply = pendingReplies.remove(line.path("number").asLong());
      if (reply == null) {
        return;
      }
      switch (line.path("kind").asText()) {
        case "accepted" -> reply.accepted();
        case "refused" ->
            reply.rejected(
                Ingress.RejectionReason.valueOf(line.path("why").asText()),
                line.path("retry").asLong());
        case "unusable" -> reply.invalid(Ingress.InvalidReason.valueOf(line.path("why").asText()));
        default -> reply.failed();
      }
    }

    @Override
    public void submit(
        final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
      if (successor != this) {
        reply.rejected(Ingress.RejectionReason.NO_ROOM, RETRY_AFTER_US);
        return;
      }
      pendingReplies.put(++lastOfferNumber, reply);
      writeLine(HandoverCodec.encodeOffer(lastOfferNumber, held, validUntilUs));
      flush();
    }

    @Override
    public void withdraw(final String id, final long destination) {
      if (successor == this) {
        writeLine(HandoverCodec.newLine("withdraw").put("id", id).put("dest", destination));
        flush();
      }
    }

    @Override
    public void reportOutcome(
        final long call, final String messageId, final Dispatcher.DispatchOutcome answer) {
      if (successor == this) {
        writeLine(HandoverCodec.encodeOutcome(call, messageId, answer));
        flush();
      }
    }

    @Override
    void onClosed() {
      if (successor == this) {
        source.onSuccessorGone();
      }
    }
  }
}
