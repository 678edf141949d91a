package thistleturn.settings;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.model.DeliverySettings;
import thistleturn.decisions.model.DestinationKind;
import thistleturn.decisions.model.Guarantees;
import thistleturn.decisions.model.Idempotence;
import thistleturn.decisions.model.MessageClass;
import thistleturn.decisions.model.ResourceLimits;
import thistleturn.decisions.model.Tenant;
import thistleturn.decisions.model.ValueDecay;
import thistleturn.decisions.model.WeightMeaning;

/**
 * Reads the settings of the decisions from the {@code enlist} line of the simulator's protocol, or
 * from a courier's configuration. Absent settings restrict nothing.
 */
public final class SettingsReader {
  /** Stands for no limit: one hour, longer than the deadline of any message. */
  private static final long UNLIMITED_US = 3_600_000_000L;

  private SettingsReader() {}

  /** Reads all settings of the decisions. */
  public static DeliverySettings read(final Fields fields) {
    return new DeliverySettings(
        (int) fields.integer("balancers", 1),
        fields.text("my_zone", ""),
        fields.text("discovery", "pushed").equals("on_request"),
        weightMeaning(fields),
        valueDecay(fields),
        classes(fields),
        tenants(fields),
        kinds(fields),
        guarantees(fields),
        limits(fields));
  }

  private static WeightMeaning weightMeaning(final Fields fields) {
    return switch (fields.text("weights", "none")) {
      case "nominal" -> WeightMeaning.NOMINAL;
      case "rough" -> WeightMeaning.APPROXIMATE;
      default -> WeightMeaning.NONE;
    };
  }

  private static ValueDecay valueDecay(final Fields fields) {
    final boolean halving = fields.text("extra.fades", "linear").equals("halving");
    return halving ? ValueDecay.HALVING : ValueDecay.LINEAR;
  }

  private static List<MessageClass> classes(final Fields fields) {
    final List<MessageClass> classes = new ArrayList<>();
    for (int index = 0; index < fields.integer("classes.count", 0); index++) {
      classes.add(messageClass(fields, "classes." + index + "."));
    }
    return classes;
  }

  private static MessageClass messageClass(final Fields fields, final String path) {
    final boolean keyScopedToZone = !fields.text(path + "group", "all").equals("all");
    final long deadlineUs = fields.integer(path + "deadline", UNLIMITED_US);
    return new MessageClass(
        fields.text(path + "name", ""),
        idempotence(fields, path),
        keyScopedToZone,
        fields.flag(path + "in_turn"),
        fields.decimal(path + "points", 1),
        fields.decimal(path + "late_worth", 0),
        fields.integer(path + "target", deadlineUs),
        deadlineUs,
        fields.integer(path + "dedup_window", 0));
  }

  private static Idempotence idempotence(final Fields fields, final String path) {
    return switch (fields.text(path + "effect", "side_effect")) {
      case "pure" -> Idempotence.IDEMPOTENT;
      case "token" -> Idempotence.IDEMPOTENT_BY_KEY;
      default -> Idempotence.NON_IDEMPOTENT;
    };
  }

  private static List<Tenant> tenants(final Fields fields) {
    final List<Tenant> tenants = new ArrayList<>();
    for (int index = 0; index < fields.integer("tenants.count", 0); index++) {
      final String path = "tenants." + index + ".";
      tenants.add(
          new Tenant(fields.text(path + "name", ""), fields.decimal(path + "quota_rps", 0)));
    }
    return tenants;
  }

  /** Reads the kinds from parallel lists, of which those after the names may be shorter. */
  private static List<DestinationKind> kinds(final Fields fields) {
    final String[] names = fields.list("flavors");
    final String[] separateRoutes = fields.list("extra.routes_apart");
    final String[] messagesPerCall = fields.list("extra.per_call");
    final List<DestinationKind> kinds = new ArrayList<>();
    for (int index = 0; index < names.length; index++) {
      final boolean separate =
          index < separateRoutes.length && separateRoutes[index].equals("true");
      final int perCall =
          index < messagesPerCall.length ? (int) fields.decimal(messagesPerCall[index]) : 1;
      kinds.add(new DestinationKind(names[index], separate, perCall));
    }
    return kinds;
  }

  private static Guarantees guarantees(final Fields fields) {
    return new Guarantees(
        fields.integer("guarantees.must_ask_in", UNLIMITED_US),
        fields.decimal("guarantees.cold_from", 1),
        fields.integer("guarantees.cold", 0),
        fields.decimal("guarantees.tip_multiple", 1),
        fields.integer("guarantees.order_settle", 0));
  }

  private static ResourceLimits limits(final Fields fields) {
    final boolean mayAnswerRetryAfter = fields.flag("limits.retry_after");
    return new ResourceLimits(
        (int) fields.integer("extra.calls_out", Integer.MAX_VALUE),
        (int) fields.integer("limits.max_open", Integer.MAX_VALUE),
        (int) fields.integer("limits.most_tries", Integer.MAX_VALUE),
        fields.flag("limits.cancel"),
        fields.integer("limits.idle_close", UNLIMITED_US),
        (int) fields.integer("limits.multiplex", 1),
        mayAnswerRetryAfter ? fields.integer("limits.max_retry_after", 0) : 0);
  }
}
