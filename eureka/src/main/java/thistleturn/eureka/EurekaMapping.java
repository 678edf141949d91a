package thistleturn.eureka;

import io.netty.util.NetUtil;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import thistleturn.decisions.membership.ReportedStatus;
import thistleturn.decisions.membership.SourceReport;

/**
 * Maps an instance of a registry to a report of an endpoint. An instance whose metadata is unusable
 * is skipped and counted; no value is guessed. The status UP is up, DOWN and OUT_OF_SERVICE drain,
 * and STARTING, UNKNOWN and all others are pending. An operator's override replaces the status if
 * it is more cautious.
 */
public final class EurekaMapping {
  private static final int MAX_PORT = 65_535;
  private static final int MAX_NAME_CHARS = 64;
  private static final int MAX_KEY_CHARS = 8 * MAX_NAME_CHARS;
  private static final int MAX_INTERNED_TEXTS = 1024;
  private static final double MAX_RATE = 1e6;

  private final Map<Unusable, Long> unusable = new EnumMap<>(Unusable.class);

  /** One copy of each zone and kind, which many instances share. */
  private final Map<String, String> internedTexts = new HashMap<>();

  /** Why an instance is skipped. */
  public enum Unusable {
    /** It has no id, or no application. */
    NO_ID,
    /** Its destination is absent, or not a number. */
    NO_DESTINATION,
    /** Its address is not an IP address. */
    NO_ADDRESS,
    /** Its plain port is absent, disabled or out of range. */
    NO_PORT,
    /** Its rate is not a number from 0 to a million. */
    BAD_RATE,
    /** Its zone, kind or key is too long. */
    TOO_LONG
  }

  /** The report of an instance, or null if it is skipped. */
  public SourceReport report(final EurekaInstance instance) {
    final long destination = InstanceParser.parseUnsigned(instance.destination());
    final double rate = rate(instance.rate());
    final Unusable reason = unusableReason(instance, destination, rate);
    if (reason != null) {
      unusable.merge(reason, 1L, Long::sum);
      return null;
    }
    return new SourceReport(
        instance.key(),
        instance.address() + ":" + instance.port(),
        destination,
        intern(instance.zone()),
        intern(instance.kind()),
        rate,
        status(instance),
        instance.versionMs());
  }

  /** Why an instance is skipped, or null if it is usable; negative arguments are invalid values. */
  private static Unusable unusableReason(
      final EurekaInstance instance, final long destination, final double rate) {
    if (instance.id().isEmpty() || instance.app().isEmpty()) {
      return Unusable.NO_ID;
    }
    if (destination < 0) {
      return Unusable.NO_DESTINATION;
    }
    if (!isIpAddress(instance.address())) {
      return Unusable.NO_ADDRESS;
    }
    if (!instance.portEnabled() || instance.port() < 1 || instance.port() > MAX_PORT) {
      return Unusable.NO_PORT;
    }
    if (rate < 0) {
      return Unusable.BAD_RATE;
    }
    return isTooLong(instance) ? Unusable.TOO_LONG : null;
  }

  private static boolean isTooLong(final EurekaInstance instance) {
    return instance.zone().length() > MAX_NAME_CHARS
        || instance.kind().length() > MAX_NAME_CHARS
        || instance.key().length() > MAX_KEY_CHARS;
  }

  private static boolean isIpAddress(final String address) {
    return NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address);
  }

  private String intern(final String text) {
    if (internedTexts.size() > MAX_INTERNED_TEXTS) {
      internedTexts.clear();
    }
    return internedTexts.computeIfAbsent(text, unused -> text);
  }

  /** Calls per second; 0 if there is no text, -1 if it is invalid. */
  private static double rate(final String text) {
    if (text.isEmpty()) {
      return 0;
    }
    try {
      final double rate = Double.parseDouble(text);
      return rate >= 0 && rate <= MAX_RATE ? rate : -1;
    } catch (final NumberFormatException e) {
      return -1;
    }
  }

  private static ReportedStatus status(final EurekaInstance instance) {
    final ReportedStatus reported = status(instance.status());
    if (instance.overridden().isEmpty() || instance.overridden().equals("UNKNOWN")) {
      return reported;
    }
    final ReportedStatus override = status(instance.overridden());
    return override.compareTo(reported) > 0 ? override : reported;
  }

  private static ReportedStatus status(final String status) {
    return switch (status) {
      case "UP" -> ReportedStatus.UP;
      case "DOWN", "OUT_OF_SERVICE" -> ReportedStatus.DRAIN;
      default -> ReportedStatus.PENDING;
    };
  }

  /** The number of instances skipped so far, by reason. */
  public Map<Unusable, Long> unusable() {
    return new EnumMap<>(unusable);
  }
}
