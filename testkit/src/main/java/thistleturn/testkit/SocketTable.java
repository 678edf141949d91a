package thistleturn.testkit;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The kernel's table of TCP sockets. It shows that the other side has ended a connection before a
 * stand-in whose event loop is blocked reads that.
 */
public final class SocketTable {
  private static final List<Path> TABLES =
      List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
  private static final int LOCAL_COLUMN = 1;
  private static final int REMOTE_COLUMN = 2;
  private static final int STATE_COLUMN = 3;

  /** Linux's state numbers for which the other side's FIN has arrived or the connection is over. */
  private static final Set<String> ENDED_STATES = Set.of("06", "07", "08", "09", "0B");

  private SocketTable() {}

  /** Returns whether the other side of an accepted connection has ended it. */
  static CallConnection.Side remoteSide(final Channel accepted) {
    if (!(accepted.localAddress() instanceof InetSocketAddress local)
        || !(accepted.remoteAddress() instanceof InetSocketAddress remote)) {
      // Closed on this side: its end is already being reported.
      return CallConnection.Side.ENDED;
    }
    try {
      return hasRemoteEnded(local, remote) ? CallConnection.Side.ENDED : CallConnection.Side.OPEN;
    } catch (final IOException e) {
      return CallConnection.Side.UNKNOWN;
    }
  }

  /**
   * Returns whether the other side of an accepted connection has ended it, whether or not that was
   * read here.
   *
   * @throws IOException if the table cannot be read
   */
  public static boolean hasRemoteEnded(
      final InetSocketAddress local, final InetSocketAddress remote) throws IOException {
    // Compares text before it parses a row: with many connections the table has thousands of rows,
    // and the connection may end while it is read.
    final String localPort = portColumnEnd(local);
    final String remotePort = portColumnEnd(remote);
    for (final Path table : TABLES) {
      for (final String row : Files.readAllLines(table, StandardCharsets.US_ASCII)) {
        if (!row.contains(localPort) || !row.contains(remotePort)) {
          continue;
        }
        final String[] columns = row.trim().split("\\s+");
        if (columns[LOCAL_COLUMN].endsWith(localPort)
            && columns[REMOTE_COLUMN].endsWith(remotePort)) {
          return ENDED_STATES.contains(columns[STATE_COLUMN]);
        }
      }
    }
    // A socket that was reset is in no table.
    return true;
  }

  /** Returns how the table writes the end of an address with this port. */
  private static String portColumnEnd(final InetSocketAddress address) {
    return String.format(":%04X", address.getPort());
  }
}
