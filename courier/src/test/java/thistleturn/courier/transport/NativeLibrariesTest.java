package thistleturn.courier.transport;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The courier runs on x86-64 and arm64 from one build. */
@Tag("operators")
final class NativeLibrariesTest {
  /** Guards against takeovers without steered connections on one of the two kinds of machine. */
  @ParameterizedTest
  @ValueSource(strings = {"x86_64", "aarch_64"})
  void libraryOfEachMachine_isOnTheClassPath(final String machine) {
    final String library = "/META-INF/native/libnetty_transport_native_epoll_" + machine + ".so";
    assertNotNull(NativeLibrariesTest.class.getResource(library), library);
  }
}
