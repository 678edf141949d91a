package thistleturn.cli.config;

import java.net.InetSocketAddress;
import thistleturn.courier.runtime.CourierConfig;

/** Parses addresses that have to be on the loopback interface. */
final class LoopbackAddress {
  private LoopbackAddress() {}

  /** The loopback address and port that a text names, or null if it names none. */
  static InetSocketAddress parse(final String text) {
    try {
      final InetSocketAddress address = CourierConfig.parseAddress("listen", text);
      return !address.isUnresolved() && address.getAddress().isLoopbackAddress() ? address : null;
    } catch (final IllegalArgumentException e) {
      return null;
    }
  }
}
