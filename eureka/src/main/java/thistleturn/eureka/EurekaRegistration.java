package thistleturn.eureka;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;
import thistleturn.courier.runtime.Log;
import thistleturn.decisions.membership.RegistrationLease;
import thistleturn.decisions.membership.RegistrationLease.Action;

/**
 * Keeps this courier's own entry in a registry, as {@link RegistrationLease} decides. The entry's
 * id is made of the courier's name and port, so that a restart on the same address renews or
 * replaces what a killed process left. Runs on the event loop.
 */
public final class EurekaRegistration {
  private static final long CALL_US = 2_000_000;
  private static final long MOST_BYTES = 1 << 20;
  private static final long US_PER_MS = 1000;
  private static final long US_PER_SECOND = 1_000_000;

  private final RegistrationSettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final String id;
  private final String host;
  private final int port;
  private final long dirtyMs;
  private final RegistrationLease lease;
  private final Map<Action, Long> acts = new TreeMap<>();
  private Future<?> due;
  private boolean busy;

  /** Begins at once; {@code address} is where the courier serves. */
  public EurekaRegistration(
      final RegistrationSettings settings,
      final EventLoop loop,
      final Clock clock,
      final String name,
      final String address) {
    final InetSocketAddress at = CourierConfig.parseAddress("address", address);
    this.settings = settings;
    this.loop = loop;
    this.clock = clock;
    this.host = at.getHostString();
    this.port = at.getPort();
    this.id = name + ":" + settings.app().toLowerCase(Locale.ROOT) + ":" + port;
    this.dirtyMs = clock.wallClockUs() / US_PER_MS;
    this.lease =
        new RegistrationLease(clock.nowUs(), settings.addresses().size(), settings.renewUs());
    step();
  }

  /** The process ends soon. */
  public void leave() {
    lease.beginDraining(clock.nowUs(), busy);
    step();
  }

  /** The process ends now; true once nothing more is to be done for that. */
  public boolean cancel() {
    lease.cancel(clock.nowUs(), busy);
    step();
    return lease.isFinished() && !busy;
  }

  /** Figures for operators. */
  public Map<String, Object> status() {
    final Map<String, Object> map = new TreeMap<>();
    map.put("id", id);
    map.put("registered", lease.mayBeRegistered());
    acts.forEach((act, count) -> map.put(act.name().toLowerCase(Locale.ROOT), count));
    return map;
  }

  private void step() {
    if (busy) {
      return;
    }
    if (due != null) {
      due.cancel(false);
      due = null;
    }
    final RegistrationLease.ScheduledAction next = lease.next();
    if (next.action() == Action.NOTHING) {
      return;
    }
    final long delayUs = next.atUs() - clock.nowUs();
    if (delayUs > 0) {
      due = loop.schedule(this::step, delayUs, TimeUnit.MICROSECONDS);
    } else {
      call(next);
    }
  }

  private void call(final RegistrationLease.ScheduledAction next) {
    busy = true;
    acts.merge(next.action(), 1L, Long::sum);
    final String entry = "/apps/" + settings.app() + "/" + id;
    final HttpMethod method =
        switch (next.action()) {
          case REGISTER -> HttpMethod.POST;
          case CANCEL -> HttpMethod.DELETE;
          default -> HttpMethod.PUT;
        };
    final String path =
        switch (next.action()) {
          case REGISTER -> "/apps/" + settings.app();
          case RENEW -> entry + "?status=UP&lastDirtyTimestamp=" + dirtyMs;
          case WARN -> entry + "/status?value=OUT_OF_SERVICE&lastDirtyTimestamp=" + dirtyMs;
          default -> entry;
        };
    EurekaCall.begin(
        loop,
        method,
        settings.addresses().get(next.address()),
        path,
        next.action() == Action.REGISTER ? instance() : null,
        CALL_US,
        MOST_BYTES,
        new EurekaCall.Listener() {
          @Override
          public void body(final int status, final ByteBuf bytes) {
            // Only the status tells.
          }

          @Override
          public void answered(final int status) {
            done(next.action(), status);
          }

          @Override
          public void failed(final String reason) {
            done(next.action(), 0);
          }
        });
  }

  private void done(final Action act, final int status) {
    busy = false;
    final boolean before = lease.mayBeRegistered();
    lease.onCompleted(clock.nowUs(), act, status);
    if (before != lease.mayBeRegistered()) {
      Log.info(
          "registry: this courier's entry "
              + id
              + (lease.mayBeRegistered() ? " is there" : " is not there")
              + " ("
              + act.name().toLowerCase(Locale.ROOT)
              + " was answered "
              + status
              + ")");
    }
    step();
  }

  /** The entry, as a registration holds it. */
  private String instance() {
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    final ObjectNode instance =
        root.putObject("instance")
            .put("instanceId", id)
            .put("hostName", host)
            .put("app", settings.app())
            .put("ipAddr", host)
            .put("status", "UP")
            .put("overriddenstatus", "UNKNOWN")
            .put("vipAddress", settings.vip())
            .put("secureVipAddress", settings.vip())
            .put("countryId", 1)
            .put("homePageUrl", "http://" + host + ":" + port + "/")
            .put("statusPageUrl", "http://" + host + ":" + port + "/up")
            .put("healthCheckUrl", "http://" + host + ":" + port + "/up")
            .put("isCoordinatingDiscoveryServer", "false")
            .put("lastDirtyTimestamp", Long.toString(dirtyMs))
            .put("lastUpdatedTimestamp", Long.toString(dirtyMs));
    instance.putObject("port").put("$", port).put("@enabled", "true");
    instance.putObject("securePort").put("$", 443).put("@enabled", "false");
    instance
        .putObject("dataCenterInfo")
        .put("@class", "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo")
        .put("name", "MyOwn");
    instance
        .putObject("leaseInfo")
        .put("renewalIntervalInSecs", Math.max(1, settings.renewUs() / US_PER_SECOND))
        .put("durationInSecs", Math.max(1, settings.leaseUs() / US_PER_SECOND));
    instance.putObject("metadata").put("thistleturn.role", "courier");
    return root.toString();
  }
}
