package thistleturn.courier;

import java.lang.reflect.Proxy;
import thistleturn.courier.runtime.Log;

/**
 * Runs a task at each SIGHUP, which would end the process otherwise. The platform's own class for
 * that is reached by its name: it is supported, but the compiler warns of it in a way that cannot
 * be silenced where warnings are errors.
 */
final class ReloadSignal {
  private ReloadSignal() {}

  /** From now on each SIGHUP runs the task, on a thread of its own. */
  static void onHangup(final Runnable task) {
    try {
      final Class<?> signal = Class.forName("sun.misc.Signal");
      final Class<?> handler = Class.forName("sun.misc.SignalHandler");
      final Object runs =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      final Object before =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), runs);
      if (before == handler.getField("SIG_IGN").get(null)) {
        // A Java machine leaves a signal alone that was ignored when it was started, as nohup does.
        Log.info(
            "SIGHUP is ignored by whoever started this process: no configuration will be read again");
      }
    } catch (final ReflectiveOperationException e) {
      throw new IllegalStateException("this Java cannot handle SIGHUP", e);
    }
  }
}
