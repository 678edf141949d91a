package thistleturn.settings;

import java.util.ArrayList;
import java.util.List;
import thistleturn.decisions.Courier;

/**
 * Reads the settings of an {@code enlist} line or of a courier's configuration. Absent ones
 * restrict nothing.
 */
public final class SettingsReader {
  private static final long FOREVER_US = 3_600_000_000L;

  private SettingsReader() {}

  /** Reads all settings that the decisions ask for. */
  public static Courier.Settings read(final Fields fields) {
    final Courier.Weights weights =
        switch (fields.text("weights", "none")) {
          case "nominal" -> Courier.Weights.NOMINAL;
          case "rough" -> Courier.Weights.ROUGH;
          default -> Courier.Weights.NONE;
        };
    return new Courier.Settings(
        (int) fields.integer("balancers", 1),
        fields.text("my_zone", ""),
        fields.text("discovery", "pushed").equals("on_request"),
        weights,
        fields.text("extra.fades", "linear").equals("halving")
            ? Courier.Fade.HALVING
            : Courier.Fade.LINEAR,
        classes(fields),
        tenants(fields),
        kinds(fields),
        guarantees(fields),
        limits(fields));
  }

  private static List<Courier.MessageClass> classes(final Fields fields) {
    final List<Courier.MessageClass> classes = new ArrayList<>();
    for (int index = 0; index < fields.integer("classes.count", 0); index++) {
      final String path = "classes." + index + ".";
      final Courier.Effect effect =
          switch (fields.text(path + "effect", "side_effect")) {
            case "pure" -> Courier.Effect.SAFE;
            case "token" -> Courier.Effect.KEYED;
            default -> Courier.Effect.UNSAFE;
          };
      final long deadlineUs = fields.integer(path + "deadline", FOREVER_US);
      classes.add(
          new Courier.MessageClass(
              fields.text(path + "name", ""),
              effect,
              !fields.text(path + "group", "all").equals("all"),
              fields.flag(path + "in_turn"),
              fields.decimal(path + "points", 1),
              fields.decimal(path + "late_worth", 0),
              fields.integer(path + "target", deadlineUs),
              deadlineUs,
              fields.integer(path + "dedup_window", 0)));
    }
    return classes;
  }

  private static List<Courier.Tenant> tenants(final Fields fields) {
    final List<Courier.Tenant> tenants = new ArrayList<>();
    for (int index = 0; index < fields.integer("tenants.count", 0); index++) {
      final String path = "tenants." + index + ".";
      tenants.add(
          new Courier.Tenant(
              fields.text(path + "name", ""), fields.decimal(path + "quota_rps", 0)));
    }
    return tenants;
  }

  private static List<Courier.Kind> kinds(final Fields fields) {
    final String[] names = fields.list("flavors");
    final String[] apart = fields.list("extra.routes_apart");
    final String[] perCall = fields.list("extra.per_call");
    final List<Courier.Kind> kinds = new ArrayList<>();
    for (int index = 0; index < names.length; index++) {
      kinds.add(
          new Courier.Kind(
              names[index],
              index < apart.length && apart[index].equals("true"),
              index < perCall.length ? (int) fields.decimal(perCall[index]) : 1));
    }
    return kinds;
  }

  private static Courier.Guarantees guarantees(final Fields fields) {
    return new Courier.Guarantees(
        fields.integer("guarantees.must_ask_in", FOREVER_US),
        fields.decimal("guarantees.cold_from", 1),
        fields.integer("guarantees.cold", 0),
        fields.decimal("guarantees.tip_multiple", 1),
        fields.integer("guarantees.order_settle", 0));
  }

  private static Courier.Limits limits(final Fields fields) {
    return new Courier.Limits(
        (int) fields.integer("extra.calls_out", Integer.MAX_VALUE),
        (int) fields.integer("limits.max_open", Integer.MAX_VALUE),
        (int) fields.integer("limits.most_tries", Integer.MAX_VALUE),
        fields.flag("limits.cancel"),
        fields.integer("limits.idle_close", FOREVER_US),
        (int) fields.integer("limits.multiplex", 1),
        fields.flag("limits.retry_after") ? fields.integer("limits.max_retry_after", 0) : 0);
  }
}
