package thistleturn.courier.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import thistleturn.decisions.model.DeliverySettings;

/**
 * The configuration of a courier.
 *
 * @param name the courier's name in its fleet and in logs
 * @param listenAddress where clients connect
 * @param operatorAddress where operators connect; null if nobody may
 * @param discoveryAddress where the platform serves the endpoint list
 * @param stateFolder the folder that outlasts the process
 * @param seed of the random numbers
 * @param maxSockets connections that may be open at a time, of clients and to endpoints together
 * @param diskBudgetBytes how much of the disk the state folder may take
 * @param initialEndpointList the endpoint list to begin with until the platform has sent one
 * @param settings of the delivery decisions
 * @param connectTimeoutUs how long a connection to an endpoint may take to come up
 */
public record CourierConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress discoveryAddress,
    Path stateFolder,
    long seed,
    int maxSockets,
    long diskBudgetBytes,
    JsonNode initialEndpointList,
    DeliverySettings settings,
    long connectTimeoutUs) {

  private static final int MAX_PORT = 65_535;

  /**
   * Reads the file that the environment names.
   *
   * @param environment variables; they override addresses and the state folder
   * @throws ConfigurationException if the file cannot be read or a value in it is not valid
   */
  public static CourierConfig read(final Map<String, String> environment)
      throws ConfigurationException {
    return ConfigurationReader.read(environment);
  }

  /**
   * Parses a numeric address with its port; names are not looked up. Port 0 lets the system choose
   * one to listen on.
   *
   * @param what names the address in the error
   * @throws IllegalArgumentException if it is no such address
   */
  public static InetSocketAddress parseAddress(final String what, final String text) {
    final int colon = text.lastIndexOf(':');
    try {
      final int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= MAX_PORT) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (final NumberFormatException e) {
      throw new IllegalArgumentException("'" + what + "' is no address: '" + text + "'", e);
    }
    throw new IllegalArgumentException("'" + what + "' is no address: '" + text + "'");
  }
}
