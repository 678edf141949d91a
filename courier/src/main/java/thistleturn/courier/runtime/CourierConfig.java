package thistleturn.courier.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import thistleturn.decisions.model.DeliverySettings;

/**
 * The configuration of a courier.
 *
 * @param name the courier's name in its fleet and in the log
 * @param listenAddress the address for clients
 * @param operatorAddress the address for operators; null if there is none
 * @param discoveryAddress the address at which the platform serves the endpoint list
 * @param stateFolder the folder that survives the process
 * @param seed the seed of the random numbers
 * @param maxSockets the maximum number of open connections, client and endpoint connections
 *     together
 * @param diskBudgetBytes the maximum size of the state folder
 * @param initialEndpointList the endpoint list to use until the platform has sent one
 * @param settings the settings of the delivery decisions
 * @param connectTimeoutUs the timeout for connecting to an endpoint
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
   * @throws ConfigurationException if the file cannot be read or a value in it is invalid
   */
  public static CourierConfig read(final Map<String, String> environment)
      throws ConfigurationException {
    return ConfigurationReader.read(environment);
  }

  /**
   * Parses a numeric address with its port; names are not looked up. With port 0 the system chooses
   * the port to listen on.
   *
   * @param what the name of the address in the error
   * @throws IllegalArgumentException if {@code text} is not such an address
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
