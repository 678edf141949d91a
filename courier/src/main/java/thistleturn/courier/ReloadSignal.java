package thistleturn.courier;

import java.lang.reflect.Proxy;
import thistleturn.courier.runtime.Log;

/**
 * Runs a task at each SIGHUP, which would end the process otherwise. The JDK's signal class is used
 * by reflection: it is supported, but the compiler's warning about it cannot be suppressed, and
 * warnings are errors in this build.
 */
final class ReloadSignal {
  private ReloadSignal() {}

  /** Runs the task at each SIGHUP from now on, on a thread of its own. */
  static void onHangup(final Runnable task) {
    try {
      final Class<?> signal = Class.forName("sun.misc.Signal");
      final Class<?> handler = Class.forName("sun.misc.SignalHandler");
      final Object taskHandler =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      final Object previousHandler =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), taskHandler);
      if (previousHandler == handler.getField("SIG_IGN").get(null)) {
        // The JVM does not handle a signal that was ignored when it was started, as by nohup.
        Log.info(
            "SIGHUP is ignored by whoever started this process: no configuration will be read again");
      }
    } catch (final ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime cannot handle SIGHUP", e);
    }
  }
}
