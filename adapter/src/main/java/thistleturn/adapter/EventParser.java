package thistleturn.adapter;

import java.util.List;
import java.util.function.Function;
import thistleturn.decisions.model.AttemptOutcome;
import thistleturn.decisions.model.AttemptResult;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Endpoint;
import thistleturn.decisions.model.EndpointState;
import thistleturn.decisions.model.EndpointUpdate;
import thistleturn.decisions.model.LoadReport;
import thistleturn.decisions.model.Message;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.Tenant;
import thistleturn.settings.Fields;
import thistleturn.settings.MalformedLineException;

/**
 * Translates the events of one instance into the types of the decisions. Names of classes, tenants
 * and kinds become the indices that they have in the instance's settings. Values that cannot be
 * translated raise a {@link MalformedLineException}.
 */
final class EventParser {
  private static final long US_PER_MS = 1000;
  private static final int NOT_FOUND = -1;

  private final DeliverySettings settings;

  /** Position of the remaining share in a load report; {@link #NOT_FOUND} if not reported. */
  private final int remainingShareField;

  /** Position of the rate limit in a load report; {@link #NOT_FOUND} if not reported. */
  private final int rateLimitField;

  /**
   * Creates a parser for one instance.
   *
   * @param enlist the line that started the instance
   */
  EventParser(final Fields enlist, final DeliverySettings settings) {
    this.settings = settings;
    final List<String> reportedFields = List.of(enlist.list("feedback.fields"));
    this.remainingShareField = reportedFields.indexOf("x0");
    this.rateLimitField = reportedFields.indexOf("x1");
  }

  /** Returns the event of a line; {@link Event#IGNORED} if its tag is unknown. */
  Event parse(final Fields fields, final EndpointSheets sheets) {
    return switch (fields.tag()) {
      case "endpoints" -> parseEndpointUpdate(fields, sheets);
      case "incoming" -> parseMessage(fields);
      case "returned" -> parseOutcome(fields);
      case "expired" -> parseAbandonment(fields);
      default -> Event.IGNORED;
    };
  }

  private Event parseEndpointUpdate(final Fields fields, final EndpointSheets sheets) {
    final EndpointUpdate update =
        switch (fields.text("scope")) {
          case "incr" -> EndpointUpdate.CHANGES;
          case "total" -> EndpointUpdate.COMPLETE_SNAPSHOT;
          case "warm_copy" -> EndpointUpdate.RESTORED_SNAPSHOT;
          case "lost" -> EndpointUpdate.UNAVAILABLE;
          default -> throw fields.malformed("unknown scope '" + fields.text("scope") + "'");
        };
    final List<Endpoint> endpoints =
        update == EndpointUpdate.UNAVAILABLE
            ? List.of()
            : sheets.rows(fields).stream().map(this::parseEndpoint).toList();
    return (controller, nowUs) -> controller.onEndpointList(nowUs, update, endpoints);
  }

  private Endpoint parseEndpoint(final Fields row) {
    final EndpointState state =
        switch (row.text("condition", "U")) {
          case "U" -> EndpointState.LISTED;
          case "L" -> EndpointState.DRAINING;
          case "D" -> EndpointState.GONE;
          default -> throw row.malformed("unknown condition '" + row.text("condition") + "'");
        };
    return new Endpoint(
        row.integer("endpoint"),
        state,
        row.text("locality", ""),
        row.decimal("power_hint", 0),
        indexOf(settings.kinds(), DestinationKind::name, row.text("kind", "")),
        row.integer("cell", 0));
  }

  private Event parseMessage(final Fields fields) {
    final String className = fields.text("qos", "");
    final int classIndex = indexOf(settings.classes(), MessageClass::name, className);
    if (classIndex == NOT_FOUND) {
      throw fields.malformed("unknown class '" + className + "'");
    }
    final Message message =
        new Message(
            fields.text("ref"),
            classIndex,
            indexOf(settings.tenants(), Tenant::name, fields.text("user_group", "")),
            fields.text("object", null),
            fields.integer("valid_until"),
            fields.integer("destination", 0));
    return (controller, nowUs) -> controller.onMessage(nowUs, message);
  }

  private Event parseOutcome(final Fields fields) {
    final AttemptResult result = parseResult(fields);
    final long retryAfterUs =
        result == AttemptResult.REFUSED ? fields.integer("remark_ms", 0) * US_PER_MS : 0;
    final AttemptOutcome outcome =
        new AttemptOutcome(
            fields.text("ref"),
            result,
            fields.flag("complete"),
            fields.integer("endpoint", 0),
            fields.integer("duration", 0),
            retryAfterUs,
            parseLoadReport(fields));
    return (controller, nowUs) -> controller.onOutcome(nowUs, outcome);
  }

  private static AttemptResult parseResult(final Fields fields) {
    return switch (fields.text("reason")) {
      case "served" -> AttemptResult.DELIVERED;
      case "server_error" -> AttemptResult.ERROR;
      case "turned_away" -> AttemptResult.REFUSED;
      case "no_answer" -> AttemptResult.TIMED_OUT;
      case "no_connection" -> AttemptResult.NO_CONNECTION;
      case "connection_lost" -> AttemptResult.RESET;
      case "called_off" -> AttemptResult.CANCELLED;
      case "not_sent" -> AttemptResult.NOT_SENT;
      default -> throw fields.malformed("unknown reason '" + fields.text("reason") + "'");
    };
  }

  /** Returns the load report of a response; null if it has none. */
  private LoadReport parseLoadReport(final Fields fields) {
    final String[] values = fields.list("load");
    final boolean isReported = remainingShareField != NOT_FOUND && rateLimitField != NOT_FOUND;
    if (!isReported || Math.max(remainingShareField, rateLimitField) >= values.length) {
      return null;
    }
    return new LoadReport(
        fields.decimal(values[remainingShareField]), fields.decimal(values[rateLimitField]));
  }

  private static Event parseAbandonment(final Fields fields) {
    final String messageId = fields.text("ref");
    return (controller, nowUs) -> controller.onMessageAbandoned(nowUs, messageId);
  }

  /** Returns the index of the last element with that name, or {@link #NOT_FOUND}. */
  private static <T> int indexOf(
      final List<T> elements, final Function<T, String> nameOf, final String name) {
    for (int index = elements.size() - 1; index >= 0; index--) {
      if (nameOf.apply(elements.get(index)).equals(name)) {
        return index;
      }
    }
    return NOT_FOUND;
  }
}
