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
public final class Predecessor implements Remote {
  private final Session session = new Session();
  private Consumer<Inheritance> taken;
  private Runnable failed;
  private Listener listener;

  /** Who decides now. Called on its event loop. */
  public interface Listener {
    /** A client has handed a message in at the older process. */
    void offer(StoredMessage held, Ingress.Reply reply);

    /** That client went before it was answered. */
    void withdraw(String id, long destination);

    /** The outcome of one message's part in a call that the older process has out. */
    void remoteOutcome(String messageId, Dispatcher.DispatchOutcome answer);

    /** The older process has ended; what it had out may have run. */
    void predecessorGone();
  }

  private Predecessor() {}

  /** Nobody: there is no older process, and nothing may be asked of it. */
  public static Predecessor none() {
    return new Predecessor();
  }

  /**
   * Asks the process that serves to hand over. Exactly one of the two is called, on the loop:
   * {@code taken} when it has, and then the journal is free, or {@code failed}, and nothing has
   * changed.
   */
  public static Predecessor ask(
      final EventLoop loop,
      final Path folder,
      final Consumer<Inheritance> taken,
      final Runnable failed) {
    final Predecessor predecessor = new Predecessor();
    predecessor.taken = taken;
    predecessor.failed = failed;
    final Bootstrap template =
        new Bootstrap()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(final Channel channel) {
                    predecessor.session.addTo(channel);
                  }
                });
    try {
      Connector.connect(
          loop,
          NioDomainSocketChannel::new,
          template,
          Wire.address(folder),
          predecessor::connected);
    } catch (final SocketUnavailableException e) {
      loop.execute(predecessor.session::ended);
    }
    return predecessor;
  }

  private void connected(final ChannelFuture connecting) {
    if (connecting.isSuccess()) {
      session.say(Wire.line("hello").put("version", Wire.VERSION));
      session.flush();
    } else {
      session.ended();
    }
  }

  @Override
  public void serve(final Listener to) {
    listener = to;
    session.hearAll();
  }

  /** This process takes clients. */
  public void listening() {
    session.say(Wire.line("listening"));
    session.flush();
  }

  @Override
  public void abandon(final long call, final AttemptResult result) {
    session.say(Wire.line("abandon").put("call", call).put("result", result.name()));
    session.flush();
  }

  private final class Session extends Wire.End {
    private final Wire.Collector collector = new Wire.Collector();

    /**
     * What was said since it handed over, while nobody decides yet: the journal may take its time
     * to open.
     */
    private final List<JsonNode> unheard = new ArrayList<>();

    private boolean over;

    @Override
    void said(final String what, final JsonNode line) {
      try {
        if (taken == null && listener == null) {
          unheard.add(line);
        } else if (taken == null) {
          hear(what, line);
        } else if (collector.add(what, line)) {
          final Consumer<Inheritance> heir = taken;
          taken = null;
          heir.accept(collector.whole());
        }
      } catch (final IOException e) {
        throw new IllegalArgumentException("handover: " + line, e);
      }
    }

    private void hearAll() {
      final List<JsonNode> lines = List.copyOf(unheard);
      unheard.clear();
      lines.forEach(line -> said(line.path("t").asText(), line));
      if (over) {
        listener.predecessorGone();
      }
    }

    private void hear(final String what, final JsonNode line) throws IOException {
      switch (what) {
        case "offer" -> listener.offer(Wire.held(line), new Answer(line.path("number").asLong()));
        case "withdraw" -> listener.withdraw(line.path("id").asText(), line.path("dest").asLong());
        case "outcome" -> listener.remoteOutcome(line.path("id").asText(), Wire.answer(line));
        default -> throw new IOException("unknown line " + what);
      }
    }

    @Override
    void ended() {
      over = true;
      if (taken != null) {
        taken = null;
        failed.run();
      } else if (listener != null) {
        listener.predecessorGone();
      }
    }
  }

  /** Takes an answer back to the process that the client is connected to. */
  private final class Answer implements Ingress.Reply {
    private final long number;

    private Answer(final long number) {
      this.number = number;
    }

    private void say(final String kind, final Enum<?> why, final long retryAfterUs) {
      final ObjectNode line =
          Wire.line("reply").put("number", number).put("kind", kind).put("retry", retryAfterUs);
      if (why != null) {
        line.put("why", why.name());
      }
      session.say(line);
      session.flush();
    }

    @Override
    public void accepted() {
      say("accepted", null, 0);
    }

    @Override
    public void rejected(final Ingress.RejectionReason why, final long retryAfterUs) {
      say("refused", why, retryAfterUs);
    }

    @Override
    public void failed() {
      say("failed", null, 0);
    }

    @Override
    public void invalid(final Ingress.InvalidReason fault) {
      say("unusable", fault, 0);
    }
  }
}
