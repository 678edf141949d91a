package thistleturn.courier.handover;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.decisions.LearnedState;
import thistleturn.decisions.model.EndpointState;

/**
 * A line of a {@link HandoverSnapshot}: sent by the process that hands over, and stored by {@code
 * courier.learned}. {@link SnapshotComplete} is the last one.
 */
sealed interface SnapshotLine extends HandoverLine {

  /** An endpoint of the list, with its number in the process that wrote the line. */
  record ListedEndpoint(HandoverSnapshot.NumberedEndpoint endpoint) implements SnapshotLine {
    private static final String TYPE = "endpoint";

    @Override
    public ObjectNode toJson() {
      final EndpointDirectory.Entry entry = endpoint.entry();
      return HandoverLine.ofType(TYPE)
          .put("number", endpoint.number())
          .put("name", entry.name())
          .put("condition", entry.state().name())
          .put("host", entry.address().getHostString())
          .put("port", entry.address().getPort())
          .put("zone", entry.zone())
          .put("weight", entry.weight())
          .put("kind", entry.kind())
          .put("dest", entry.destination());
    }

    private static ListedEndpoint fromJson(final JsonNode line) {
      final EndpointDirectory.Entry entry =
          new EndpointDirectory.Entry(
              line.path("name").asText(),
              EndpointState.valueOf(line.path("condition").asText()),
              new InetSocketAddress(line.path("host").asText(), line.path("port").asInt()),
              line.path("zone").asText(),
              line.path("weight").asDouble(),
              line.path("kind").asText(),
              line.path("dest").asLong());
      return new ListedEndpoint(
          new HandoverSnapshot.NumberedEndpoint(line.path("number").asLong(), entry));
    }
  }

  /** The learned statistics of all classes, in the order of the settings. */
  record ClassStatistics(double[] meanUs, int[] samples, double trustedIdleUs)
      implements SnapshotLine {
    private static final String TYPE = "classes";

    @Override
    public ObjectNode toJson() {
      final ObjectNode line = HandoverLine.ofType(TYPE).put("trust", trustedIdleUs);
      line.set("mean", HandoverLine.doublesToTexts(meanUs));
      line.set(
          "samples", HandoverLine.longsToArray(Arrays.stream(samples).asLongStream().toArray()));
      return line;
    }

    private static ClassStatistics fromJson(final JsonNode line) {
      return new ClassStatistics(
          HandoverLine.doublesFromTexts(line.path("mean")),
          Arrays.stream(HandoverLine.longsFromArray(line.path("samples")))
              .mapToInt(count -> (int) count)
              .toArray(),
          line.path("trust").asDouble());
    }
  }

  /** The learned state of a route. */
  record LearnedRoute(LearnedState.LearnedRoute route) implements SnapshotLine {
    private static final String TYPE = "lane";

    @Override
    public ObjectNode toJson() {
      return statistics(TYPE, route.endpointId(), route.figures(), route.moments());
    }

    private static LearnedRoute fromJson(final JsonNode line) {
      return new LearnedRoute(
          new LearnedState.LearnedRoute(endpointNumber(line), figures(line), moments(line)));
    }
  }

  /** The learned state of an endpoint. */
  record LearnedEndpoint(LearnedState.LearnedEndpoint endpoint) implements SnapshotLine {
    private static final String TYPE = "node";

    @Override
    public ObjectNode toJson() {
      return statistics(TYPE, endpoint.endpointId(), endpoint.figures(), endpoint.moments());
    }

    private static LearnedEndpoint fromJson(final JsonNode line) {
      return new LearnedEndpoint(
          new LearnedState.LearnedEndpoint(endpointNumber(line), figures(line), moments(line)));
    }
  }

  /** A call in flight that stays with the process that hands over. */
  record RemoteCall(HandoverSnapshot.InFlightRemoteCall call) implements SnapshotLine {
    private static final String TYPE = "call";

    @Override
    public ObjectNode toJson() {
      final ObjectNode line =
          HandoverLine.ofType(TYPE)
              .put("number", call.number())
              .put("endpoint", call.endpoint())
              .put("dest", call.destination())
              .put("sent", call.sentUs());
      line.set("ids", HandoverLine.textsToArray(call.messageIds()));
      return line;
    }

    private static RemoteCall fromJson(final JsonNode line) {
      final List<String> messageIds = HandoverLine.textsFromArray(line.path("ids"));
      return new RemoteCall(
          new HandoverSnapshot.InFlightRemoteCall(
              line.path("number").asLong(),
              line.path("endpoint").asLong(),
              line.path("dest").asLong(),
              line.path("sent").asLong(),
              messageIds));
    }
  }

  /** The snapshot is complete: from this line on the process that reads it decides. */
  record SnapshotComplete() implements SnapshotLine {
    private static final String TYPE = "yours";

    @Override
    public ObjectNode toJson() {
      return HandoverLine.ofType(TYPE);
    }
  }

  /**
   * Reads a line of a snapshot.
   *
   * @throws IOException if its type is unknown
   */
  static SnapshotLine fromJson(final JsonNode line) throws IOException {
    final String type = HandoverLine.typeOf(line);
    return switch (type) {
      case ListedEndpoint.TYPE -> ListedEndpoint.fromJson(line);
      case ClassStatistics.TYPE -> ClassStatistics.fromJson(line);
      case LearnedRoute.TYPE -> LearnedRoute.fromJson(line);
      case LearnedEndpoint.TYPE -> LearnedEndpoint.fromJson(line);
      case RemoteCall.TYPE -> RemoteCall.fromJson(line);
      case SnapshotComplete.TYPE -> new SnapshotComplete();
      default -> throw new IOException("handover: unknown line type " + type);
    };
  }

  private static ObjectNode statistics(
      final String type, final long endpoint, final double[] figures, final long[] moments) {
    final ObjectNode line = HandoverLine.ofType(type).put("endpoint", endpoint);
    line.set("figures", HandoverLine.doublesToTexts(figures));
    line.set("moments", HandoverLine.longsToArray(moments));
    return line;
  }

  private static long endpointNumber(final JsonNode line) {
    return line.path("endpoint").asLong();
  }

  private static double[] figures(final JsonNode line) {
    return HandoverLine.doublesFromTexts(line.path("figures"));
  }

  private static long[] moments(final JsonNode line) {
    return HandoverLine.longsFromArray(line.path("moments"));
  }
}
