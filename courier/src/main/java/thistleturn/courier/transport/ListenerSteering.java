package thistleturn.courier.transport;

import io.netty.channel.epoll.Epoll;
import io.netty.channel.unix.Buffer;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.lang.ref.Reference;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import thistleturn.courier.runtime.BackgroundExecutor;

/**
 * Makes the operating system give all new connections of an address that two processes share
 * (SO_REUSEPORT) to the one that began to listen last. The other listener can then be closed
 * without losing connections: those in its backlog are reset when it closes, but no more arrive
 * there.
 *
 * <p>Linux numbers the listeners of an address in the order in which they began to listen, and a
 * classic BPF program that is attached to any of them selects one by its number. If the number does
 * not exist, because the older listener is closed, the system selects as it does by default. Java
 * has no such socket option, so Netty's native library sets it; that is loaded on a thread of its
 * own, since loading takes up to 0.1 s.
 */
public final class ListenerSteering {
  private static final Path OWN_DESCRIPTORS = Path.of("/proc/self/fd");
  private static final String SOCKET_LINK_PREFIX = "socket:";

  // From the Linux headers: asm-generic/socket.h, linux/in.h, linux/bpf_common.h, linux/filter.h.
  private static final int SOL_SOCKET = 1;
  private static final int SO_ACCEPTCONN = 30;
  private static final int SO_PROTOCOL = 38;
  private static final int SO_ATTACH_REUSEPORT_CBPF = 51;
  private static final int IPPROTO_TCP = 6;
  private static final short BPF_RETURN_CONSTANT = 0x06;
  private static final int INSTRUCTION_BYTES = 8;
  private static final int INSTRUCTION_CONSTANT_OFFSET = 4;
  private static final int PROGRAM_BYTES = 16;
  private static final int PROGRAM_POINTER_OFFSET = 8;

  /** The older listener is number 0. */
  private static final int NEWER_LISTENER = 1;

  private static final BackgroundExecutor THREAD =
      new BackgroundExecutor("listener-steering", "steer connections");

  private ListenerSteering() {}

  /** Loads the native library ahead of its use; a failure to load is reported on use. */
  public static void prepare() {
    runOnThread(Epoll::isAvailable);
  }

  /**
   * Steers the connections of this process's listener at a port to the newer of its two listeners.
   *
   * @return completes on another thread; exceptionally with an {@link IOException} if the operating
   *     system or the platform does not support it, and then nothing has changed
   */
  public static CompletableFuture<Void> steerToNewer(final int port) {
    final CompletableFuture<Void> steered = new CompletableFuture<>();
    final Runnable steering =
        () -> {
          try {
            steer(port);
            steered.complete(null);
          } catch (final IOException | RuntimeException e) {
            steered.completeExceptionally(e);
          }
        };
    if (!runOnThread(steering)) {
      steered.completeExceptionally(
          new IOException("cannot start the thread that steers connections"));
    }
    return steered;
  }

  /** Returns false if the system cannot start the thread. */
  private static boolean runOnThread(final Runnable task) {
    try {
      THREAD.execute(task);
      return true;
    } catch (final OutOfMemoryError e) {
      return false;
    }
  }

  private static void steer(final int port) throws IOException {
    if (!Epoll.isAvailable()) {
      throw new IOException(
          "Netty's native epoll library is unavailable", Epoll.unavailabilityCause());
    }
    attach(ownListener(port));
  }

  private static Socket ownListener(final int port) throws IOException {
    try (DirectoryStream<Path> descriptors = Files.newDirectoryStream(OWN_DESCRIPTORS)) {
      for (final Path descriptor : descriptors) {
        if (isSocket(descriptor)) {
          final Socket socket = new Socket(Integer.parseInt(descriptor.getFileName().toString()));
          if (listensAt(socket, port)) {
            return socket;
          }
        }
      }
    }
    throw new IOException("this process has no listener at port " + port);
  }

  private static boolean isSocket(final Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString().startsWith(SOCKET_LINK_PREFIX);
    } catch (final IOException e) {
      // The descriptor was closed in the meantime.
      return false;
    }
  }

  private static boolean listensAt(final Socket socket, final int port) {
    try {
      return intOption(socket, SO_ACCEPTCONN) == 1
          && intOption(socket, SO_PROTOCOL) == IPPROTO_TCP
          && socket.localAddress().getPort() == port;
    } catch (final IOException e) {
      // The descriptor was closed in the meantime.
      return false;
    }
  }

  private static int intOption(final Socket socket, final int option) throws IOException {
    final ByteBuffer value = nativeBuffer(Integer.BYTES);
    socket.getRawOpt(SOL_SOCKET, option, value);
    return value.getInt(0);
  }

  private static ByteBuffer nativeBuffer(final int bytes) {
    return ByteBuffer.allocateDirect(bytes).order(ByteOrder.nativeOrder());
  }

  /** Attaches a program of one instruction, which returns the newer listener's number. */
  private static void attach(final Socket listener) throws IOException {
    final ByteBuffer instruction = nativeBuffer(INSTRUCTION_BYTES);
    instruction.putShort(0, BPF_RETURN_CONSTANT);
    instruction.putInt(INSTRUCTION_CONSTANT_OFFSET, NEWER_LISTENER);
    final ByteBuffer program = nativeBuffer(PROGRAM_BYTES);
    program.putShort(0, (short) 1);
    program.putLong(PROGRAM_POINTER_OFFSET, Buffer.memoryAddress(instruction));
    try {
      listener.setRawOpt(SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program);
    } finally {
      // The kernel reads it by its address, a use that the garbage collector does not see.
      Reference.reachabilityFence(instruction);
    }
  }
}
