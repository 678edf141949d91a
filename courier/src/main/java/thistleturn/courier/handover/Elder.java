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
import thistleturn.courier.runtime.Passing;
import thistleturn.courier.transport.AcceptRetryHandler;
import thistleturn.decisions.model.AttemptResult;

/**
 * The side of the process that serves: it waits for a newer one, and hands over to the first that
 * asks.
 */
public final class Elder {
  private static final long RETRY_US = 1_000_000;

  /** How often an address for newer processes is asked for that the system does not give. */
  private static final int LISTEN_TRIES = 800;

  private final Giver giver;
  private Channel listener;
  private Session heir;

  /** Not listening yet. */
  public Elder(final Giver giver) {
    this.giver = giver;
  }

  /** Waits for a newer process from now on; the folder must be locked by this one. */
  public void listen(final EventLoop loop, final Path folder) {
    listen(loop, folder, LISTEN_TRIES);
  }

  private void again(
      final EventLoop loop, final Path folder, final int tries, final Throwable failure) {
    if (tries > 1 && Passing.mayPass(failure)) {
      Log.event(Event.START_RETRIED, "step", "listen to a newer process", "cause", failure);
      loop.schedule(() -> listen(loop, folder, tries - 1), Passing.RETRY_MS, TimeUnit.MILLISECONDS);
    } else {
      Log.info("handover: no newer process can take over: " + failure);
    }
  }

  private void listen(final EventLoop loop, final Path folder, final int tries) {
    final UnixDomainSocketAddress address = Wire.address(folder);
    try {
      // What an earlier process left: nobody can be listening there while we hold the lock.
      Files.deleteIfExists(address.getPath());
    } catch (final IOException e) {
      again(loop, folder, tries, e);
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
                    new Session().addTo(channel);
                  }
                })
            .bind(address)
            .addListener(
                bound -> {
                  if (!bound.isSuccess()) {
                    again(loop, folder, tries, bound.cause());
                  }
                })
            .channel();
  }

  private final class Session extends Wire.End implements Heir {
    private final Map<Long, Ingress.Reply> replies = new HashMap<>();
    private long offers;

    @Override
    void said(final String what, final JsonNode line) {
      if (heir != this) {
        if (heir != null || !what.equals("hello") || line.path("version").asInt() != Wire.VERSION) {
          Log.info(
              "handover: refused: "
                  + (heir != null ? "it is under way" : "another version: " + line));
          close();
          return;
        }
        handOver();
        return;
      }
      switch (what) {
        case "listening" -> giver.heirListens();
        case "abandon" ->
            giver.abandon(
                line.path("call").asLong(), AttemptResult.valueOf(line.path("result").asText()));
        case "reply" -> reply(line);
        default -> Log.info("handover: unknown line " + what);
      }
    }

    private void handOver() {
      try {
        final Inheritance inheritance = giver.handOver(this);
        heir = this;
        // The newer one listens there in its turn.
        listener.close();
        Wire.tell(inheritance, this::say);
        flush();
      } catch (final IOException e) {
        Log.info("handover: not now: " + e.getMessage());
        close();
      }
    }

    private void reply(final JsonNode line) {
      final Ingress.Reply reply = replies.remove(line.path("number").asLong());
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
    public void offer(
        final StoredMessage held, final long validUntilUs, final Ingress.Reply reply) {
      if (heir != this) {
        reply.rejected(Ingress.RejectionReason.NO_ROOM, RETRY_US);
        return;
      }
      replies.put(++offers, reply);
      say(Wire.offer(offers, held, validUntilUs));
      flush();
    }

    @Override
    public void withdraw(final String id, final long destination) {
      if (heir == this) {
        say(Wire.line("withdraw").put("id", id).put("dest", destination));
        flush();
      }
    }

    @Override
    public void outcome(
        final long call, final String messageId, final Dispatcher.DispatchOutcome answer) {
      if (heir == this) {
        say(Wire.outcome(call, messageId, answer));
        flush();
      }
    }

    @Override
    void ended() {
      if (heir == this) {
        giver.heirGone();
      }
    }
  }
}
