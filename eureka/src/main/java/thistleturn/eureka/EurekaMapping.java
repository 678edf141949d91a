package thistleturn.eureka;

import io.netty.util.NetUtil;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import thistleturn.decisions.membership.ReportedStatus;
import thistleturn.decisions.membership.SourceReport;

/**
 * What an instance of a registry means as an endpoint. One whose metadata cannot be used is left
 * out and counted, and never guessed. Statuses: UP is up; STARTING, UNKNOWN and any other word are
 * not yet; DOWN and OUT_OF_SERVICE drain. Where an operator's override says something more cautious
 * than the status, that counts.
 */
public final class EurekaMapping {
  private static final int MOST_PORT = 65_535;
  private static final int MOST_NAME_CHARS = 64;
  private static final double MOST_RATE = 1e6;

  private final Map<Unusable, Long> unusable = new EnumMap<>(Unusable.class);

  /**
   * One copy of each zone and kind, however many instances name it; bounded by what is remembered
   * at all.
   */
  private final Map<String, String> texts = new HashMap<>();

  /** Why an instance is left out. */
  public enum Unusable {
    /** It has no id, or no application. */
    NO_ID,
    /** Its destination is absent, or no number. */
    NO_DESTINATION,
    /** Its address is not in figures. */
    NO_ADDRESS,
    /** Its plain port is absent, off or out of range. */
    NO_PORT,
    /** Its rate is no number from 0 to a million. */
    BAD_RATE,
    /** Its zone, kind or id is longer than any that makes sense. */
    TOO_LONG
  }

  /** The report of an instance, or null if it is left out. */
  public SourceReport report(final EurekaInstance instance) {
    final long destination = InstanceParser.whole(instance.destination());
    final double rate = rate(instance.rate());
    final Unusable why =
        instance.id().isEmpty() || instance.app().isEmpty()
            ? Unusable.NO_ID
            : destination < 0
                ? Unusable.NO_DESTINATION
                : !isFigures(instance.address())
                    ? Unusable.NO_ADDRESS
                    : !instance.portEnabled() || instance.port() < 1 || instance.port() > MOST_PORT
                        ? Unusable.NO_PORT
                        : rate < 0
                            ? Unusable.BAD_RATE
                            : isTooLong(instance) ? Unusable.TOO_LONG : null;
    if (why != null) {
      unusable.merge(why, 1L, Long::sum);
      return null;
    }
    return new SourceReport(
        instance.key(),
        instance.address() + ":" + instance.port(),
        destination,
        one(instance.zone()),
        one(instance.kind()),
        rate,
        word(instance),
        instance.versionMs());
  }

  private static boolean isTooLong(final EurekaInstance instance) {
    return instance.zone().length() > MOST_NAME_CHARS
        || instance.kind().length() > MOST_NAME_CHARS
        || instance.key().length() > 8 * MOST_NAME_CHARS;
  }

  private static boolean isFigures(final String address) {
    return NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address);
  }

  private String one(final String text) {
    if (texts.size() > 1024) {
      texts.clear();
    }
    return texts.computeIfAbsent(text, unused -> text);
  }

  private static double rate(final String text) {
    if (text.isEmpty()) {
      return 0;
    }
    try {
      final double rate = Double.parseDouble(text);
      return rate >= 0 && rate <= MOST_RATE ? rate : -1;
    } catch (final NumberFormatException e) {
      return -1;
    }
  }

  private static ReportedStatus word(final EurekaInstance instance) {
    final ReportedStatus own = word(instance.status());
    if (instance.overridden().isEmpty() || instance.overridden().equals("UNKNOWN")) {
      return own;
    }
    final ReportedStatus override = word(instance.overridden());
    return override.compareTo(own) > 0 ? override : own;
  }

  private static ReportedStatus word(final String status) {
    return switch (status) {
      case "UP" -> ReportedStatus.UP;
      case "DOWN", "OUT_OF_SERVICE" -> ReportedStatus.DRAIN;
      default -> ReportedStatus.PENDING;
    };
  }

  /** How often instances were left out so far, by why. */
  public Map<Unusable, Long> unusable() {
    return new EnumMap<>(unusable);
  }
}
