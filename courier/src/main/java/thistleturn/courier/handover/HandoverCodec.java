package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import thistleturn.courier.port.Dispatcher;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.port.StoredMessage;
import thistleturn.courier.runtime.Json;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.LoadReport;

/**
 * What the two processes say to each other: JSON objects, one a line, each with what it is in
 * {@code t}.
 */
public final class HandoverCodec {
  /**
   * To be raised when the lines change; it and the memory's version only ever rise, so that no sum
   * comes twice.
   */
  private static final int LINE_FORMAT_VERSION = 1;

  /**
   * The newer process says this first; one of another version, of lines or of what was learnt, is
   * not handed anything.
   */
  static final int PROTOCOL_VERSION = LINE_FORMAT_VERSION + LearnedState.VERSION;

  /** A message's body has 64 KiB at most, and a third more as text. */
  private static final int MAX_LINE_BYTES = 1 << 18;

  private HandoverCodec() {}

  static UnixDomainSocketAddress socketAddress(final Path folder) {
    return UnixDomainSocketAddress.of(folder.resolve("handover"));
  }

  /** One end of the connection. What cannot be read ends it. */
  abstract static class LineConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private ChannelHandlerContext context;

    abstract void onLine(String what, JsonNode line);

    abstract void onClosed();

    final void addTo(final Channel channel) {
      channel.pipeline().addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES), this);
    }

    final void writeLine(final ObjectNode line) {
      context.write(Unpooled.copiedBuffer(Json.toText(line) + "\n", StandardCharsets.UTF_8));
    }

    final void flush() {
      context.flush();
    }

    final void close() {
      context.close();
    }

    @Override
    public final void handlerAdded(final ChannelHandlerContext ctx) {
      context = ctx;
    }

    @Override
    protected final void channelRead0(final ChannelHandlerContext ctx, final ByteBuf bytes)
        throws IOException {
      final JsonNode line = Json.read(bytes.toString(StandardCharsets.UTF_8));
      onLine(line.path("t").asText(), line);
    }

    @Override
    public final void channelInactive(final ChannelHandlerContext ctx) {
      onClosed();
    }

    @Override
    public final void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
      if (!(cause instanceof IOException)) {
        Log.failure("handover", cause);
      }
      ctx.close();
    }
  }

  static ObjectNode newLine(final String what) {
    return JsonNodeFactory.instance.objectNode().put("t", what);
  }

  // ---------------------------------------------------------------- what is handed on

  static void writeSnapshot(final HandoverSnapshot inheritance, final Consumer<ObjectNode> to) {
    for (final HandoverSnapshot.NumberedEndpoint named : inheritance.endpoints()) {
      final EndpointDirectory.Entry one = named.entry();
      to.accept(
          newLine("endpoint")
              .put("number", named.number())
              .put("name", one.name())
              .put("condition", one.state().name())
              .put("host", one.address().getHostString())
              .put("port", one.address().getPort())
              .put("zone", one.zone())
              .put("weight", one.weight())
              .put("kind", one.kind())
              .put("dest", one.destination()));
    }
    final LearnedState memory = inheritance.learnedState();
    final ObjectNode classes = newLine("classes").put("trust", memory.trustedIdleUs());
    classes.set("mean", toTextArray(memory.classMeanUs()));
    final ArrayNode samples = classes.putArray("samples");
    Arrays.stream(memory.classSamples()).forEach(samples::add);
    to.accept(classes);
    memory
        .routes()
        .forEach(one -> to.accept(figures("lane", one.endpointId(), one.figures(), one.moments())));
    memory
        .endpoints()
        .forEach(one -> to.accept(figures("node", one.endpointId(), one.figures(), one.moments())));
    for (final HandoverSnapshot.InFlightRemoteCall call : inheritance.calls()) {
      final ObjectNode line =
          newLine("call")
              .put("number", call.number())
              .put("endpoint", call.endpoint())
              .put("dest", call.destination())
              .put("sent", call.sentUs());
      final ArrayNode ids = line.putArray("ids");
      call.messageIds().forEach(ids::add);
      to.accept(line);
    }
    to.accept(newLine("yours"));
  }

  /** The same as lines of text. */
  public static List<String> encodeSnapshot(final HandoverSnapshot inheritance) {
    final List<String> lines = new ArrayList<>();
    writeSnapshot(inheritance, line -> lines.add(Json.toText(line)));
    return lines;
  }

  /** What such lines tell; what cannot be read is an error. */
  public static HandoverSnapshot decodeSnapshot(final List<String> lines) throws IOException {
    final SnapshotAssembler collector = new SnapshotAssembler();
    for (final String text : lines) {
      final JsonNode line = Json.read(text);
      collector.add(line.path("t").asText(), line);
    }
    return collector.toSnapshot();
  }

  /** The same, through its text and back. */
  public static HandoverSnapshot encodeAndDecode(final HandoverSnapshot inheritance)
      throws IOException {
    return decodeSnapshot(encodeSnapshot(inheritance));
  }

  private static ObjectNode figures(
      final String what, final long endpoint, final double[] figures, final long[] moments) {
    final ObjectNode line = newLine(what).put("endpoint", endpoint);
    line.set("figures", toTextArray(figures));
    final ArrayNode times = line.putArray("moments");
    Arrays.stream(moments).forEach(times::add);
    return line;
  }

  /** As texts: JSON has no number for what is unlimited. */
  private static ArrayNode toTextArray(final double[] figures) {
    final ArrayNode texts = JsonNodeFactory.instance.arrayNode();
    Arrays.stream(figures).forEach(figure -> texts.add(Double.toString(figure)));
    return texts;
  }

  private static double[] figures(final JsonNode texts) {
    final double[] figures = new double[texts.size()];
    Arrays.setAll(figures, index -> Double.parseDouble(texts.get(index).asText()));
    return figures;
  }

  private static long[] readLongs(final JsonNode numbers) {
    final long[] moments = new long[numbers.size()];
    Arrays.setAll(moments, index -> numbers.get(index).asLong());
    return moments;
  }

  /** Collects what is handed on, line by line. */
  static final class SnapshotAssembler {
    private final List<HandoverSnapshot.NumberedEndpoint> endpoints = new ArrayList<>();
    private final List<LearnedState.LearnedRoute> routes = new ArrayList<>();
    private final List<LearnedState.LearnedEndpoint> nodes = new ArrayList<>();
    private final List<HandoverSnapshot.InFlightRemoteCall> calls = new ArrayList<>();
    private double[] classMeanUs = {};
    private int[] classSamples = {};
    private double trustUs;

    /** Takes a line in; true once it was the last. */
    boolean add(final String what, final JsonNode line) throws IOException {
      switch (what) {
        case "endpoint" ->
            endpoints.add(
                new HandoverSnapshot.NumberedEndpoint(
                    line.path("number").asLong(),
                    new EndpointDirectory.Entry(
                        line.path("name").asText(),
                        EndpointState.valueOf(line.path("condition").asText()),
                        new InetSocketAddress(
                            line.path("host").asText(), line.path("port").asInt()),
                        line.path("zone").asText(),
                        line.path("weight").asDouble(),
                        line.path("kind").asText(),
                        line.path("dest").asLong())));
        case "classes" -> {
          classMeanUs = figures(line.path("mean"));
          classSamples =
              Arrays.stream(readLongs(line.path("samples")))
                  .mapToInt(count -> (int) count)
                  .toArray();
          trustUs = line.path("trust").asDouble();
        }
        case "lane" ->
            routes.add(
                new LearnedState.LearnedRoute(
                    line.path("endpoint").asLong(),
                    figures(line.path("figures")),
                    readLongs(line.path("moments"))));
        case "node" ->
            nodes.add(
                new LearnedState.LearnedEndpoint(
                    line.path("endpoint").asLong(),
                    figures(line.path("figures")),
                    readLongs(line.path("moments"))));
        case "call" -> {
          final List<String> ids = new ArrayList<>();
          line.path("ids").forEach(id -> ids.add(id.asText()));
          calls.add(
              new HandoverSnapshot.InFlightRemoteCall(
                  line.path("number").asLong(),
                  line.path("endpoint").asLong(),
                  line.path("dest").asLong(),
                  line.path("sent").asLong(),
                  ids));
        }
        case "yours" -> {
          return true;
        }
        default -> throw new IOException("handover: unknown line " + what);
      }
      return false;
    }

    HandoverSnapshot toSnapshot() {
      return new HandoverSnapshot(
          endpoints, new LearnedState(classMeanUs, classSamples, trustUs, routes, nodes), calls);
    }
  }

  // ---------------------------------------------------------------- messages and outcomes

  static ObjectNode encodeOffer(
      final long number, final StoredMessage held, final long validUntilUs) {
    return newLine("offer")
        .put("number", number)
        .put("id", held.id())
        .put("class", held.className())
        .put("key", held.idempotencyKey())
        .put("dest", held.destination())
        .put("valid", validUntilUs)
        .put("body", held.body());
  }

  static StoredMessage decodeOffer(final JsonNode line) throws IOException {
    return new StoredMessage(
        line.path("id").asText(),
        line.path("class").asText(),
        line.path("key").isTextual() ? line.path("key").asText() : null,
        line.path("dest").asLong(),
        line.path("valid").asLong(),
        line.path("body").binaryValue());
  }

  static ObjectNode encodeOutcome(
      final long call, final String messageId, final Dispatcher.DispatchOutcome answer) {
    final ObjectNode line =
        newLine("outcome")
            .put("call", call)
            .put("id", messageId)
            .put("result", answer.result().name())
            .put("over", answer.completed())
            .put("wait", answer.retryAfterUs());
    if (answer.loadReport() != null) {
      line.put("left", answer.loadReport().remainingShare())
          .put("limit", answer.loadReport().callsPerSecond());
    }
    return line;
  }

  static Dispatcher.DispatchOutcome decodeOutcome(final JsonNode line) {
    return new Dispatcher.DispatchOutcome(
        AttemptResult.valueOf(line.path("result").asText()),
        line.path("over").asBoolean(),
        line.path("wait").asLong(),
        !line.has("left")
            ? null
            : new LoadReport(line.path("left").asDouble(), line.path("limit").asDouble()));
  }
}
