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
 * Keeps this courier registered as an instance in a registry, as {@link RegistrationLease} decides.
 * The instance's id consists of the courier's name and port, so that a process that is restarted on
 * the same address renews or replaces the instance that a killed process left behind. Runs on the
 * event loop.
 */
public final class EurekaRegistration {
  private static final long CALL_TIMEOUT_US = 2_000_000;
  private static final long MAX_RESPONSE_BYTES = 1 << 20;
  private static final int NO_STATUS = 0;
  private static final long US_PER_MS = 1000;
  private static final long US_PER_SECOND = 1_000_000;

  private final RegistrationSettings settings;
  private final EventLoop loop;
  private final Clock clock;
  private final String id;
  private final String host;
  private final int port;

  /** When this process began to register; distinguishes its instance from an earlier process's. */
  private final long dirtyMs;

  private final RegistrationLease lease;
  private final Map<Action, Long> callsByAction = new TreeMap<>();
  private Future<?> scheduledStep;
  private boolean callInFlight;

  /** Registers at once; {@code address} is where the courier serves. */
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
        new RegistrationLease(
            clock.nowUs(), settings.addresses().size(), settings.renewalIntervalUs());
    step();
  }

  /** Marks the instance as out of service, because the courier drains before it stops. */
  public void beginDraining() {
    lease.beginDraining(clock.nowUs(), callInFlight);
    step();
  }

  /** Removes the instance; returns whether that has finished. Callers repeat it until it has. */
  public boolean cancel() {
    lease.cancel(clock.nowUs(), callInFlight);
    step();
    return lease.isFinished() && !callInFlight;
  }

  /** The state and the counts, for operators. */
  public Map<String, Object> status() {
    final Map<String, Object> map = new TreeMap<>();
    map.put("id", id);
    map.put("registered", lease.mayBeRegistered());
    callsByAction.forEach(
        (action, count) -> map.put(action.name().toLowerCase(Locale.ROOT), count));
    return map;
  }

  /** Makes the next call of the lease if it is due, or schedules it. */
  private void step() {
    if (callInFlight) {
      return;
    }
    if (scheduledStep != null) {
      scheduledStep.cancel(false);
      scheduledStep = null;
    }
    final RegistrationLease.ScheduledAction next = lease.next();
    if (next.action() == Action.NOTHING) {
      return;
    }
    final long delayUs = next.atUs() - clock.nowUs();
    if (delayUs > 0) {
      scheduledStep = loop.schedule(this::step, delayUs, TimeUnit.MICROSECONDS);
    } else {
      call(next);
    }
  }

  private void call(final RegistrationLease.ScheduledAction next) {
    callInFlight = true;
    callsByAction.merge(next.action(), 1L, Long::sum);
    EurekaCall.start(loop, request(next), new CallListener(next.action()));
  }

  private EurekaCall.Request request(final RegistrationLease.ScheduledAction next) {
    final String instancePath = "/apps/" + settings.app() + "/" + id;
    final HttpMethod method =
        switch (next.action()) {
          case REGISTER -> HttpMethod.POST;
          case CANCEL -> HttpMethod.DELETE;
          default -> HttpMethod.PUT;
        };
    final String path =
        switch (next.action()) {
          case REGISTER -> "/apps/" + settings.app();
          case RENEW -> instancePath + "?status=UP&lastDirtyTimestamp=" + dirtyMs;
          case WARN -> instancePath + "/status?value=OUT_OF_SERVICE&lastDirtyTimestamp=" + dirtyMs;
          default -> instancePath;
        };
    return new EurekaCall.Request(
        method,
        settings.addresses().get(next.address()),
        path,
        next.action() == Action.REGISTER ? instanceJson() : null,
        CALL_TIMEOUT_US,
        MAX_RESPONSE_BYTES);
  }

  private final class CallListener implements EurekaCall.Listener {
    private final Action action;

    CallListener(final Action action) {
      this.action = action;
    }

    @Override
    public void onBody(final int status, final ByteBuf piece) {
      // Only the status matters.
    }

    @Override
    public void onCompleted(final int status) {
      onCallEnded(action, status);
    }

    @Override
    public void onFailed(final String reason) {
      onCallEnded(action, NO_STATUS);
    }
  }

  private void onCallEnded(final Action action, final int status) {
    callInFlight = false;
    final boolean wasRegistered = lease.mayBeRegistered();
    lease.onCompleted(clock.nowUs(), action, status);
    if (wasRegistered != lease.mayBeRegistered()) {
      Log.info(
          "registry: this courier's instance "
              + id
              + (lease.mayBeRegistered() ? " is registered" : " is not registered")
              + " ("
              + action.name().toLowerCase(Locale.ROOT)
              + ": status "
              + status
              + ")");
    }
    step();
  }

  /** The body of a registration. */
  private String instanceJson() {
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
        .put("renewalIntervalInSecs", Math.max(1, settings.renewalIntervalUs() / US_PER_SECOND))
        .put("durationInSecs", Math.max(1, settings.leaseDurationUs() / US_PER_SECOND));
    instance.putObject("metadata").put("thistleturn.role", "courier");
    return root.toString();
  }
}
