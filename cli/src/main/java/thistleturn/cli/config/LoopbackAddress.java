package thistleturn.cli.config;

import java.net.InetSocketAddress;
import thistleturn.courier.runtime.CourierConfig;

/** Parses addresses that have to be on the loopback interface. */
final class LoopbackAddress {
  private LoopbackAddress() {}

  /** Parses a loopback address with a port; returns null for any other text. */
  static InetSocketAddress parse(final String text) {
    try {
      final InetSocketAddress address = CourierConfig.parseAddress("listen", text);
      return !address.isUnresolved() && address.getAddress().isLoopbackAddress() ? address : null;
    } catch (final IllegalArgumentException e) {
      return null;
    }
  }
}
