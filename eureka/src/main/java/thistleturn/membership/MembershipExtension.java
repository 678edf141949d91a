package thistleturn.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import thistleturn.courier.CourierExtension;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Log;
import thistleturn.eureka.EurekaRegistration;

/** Membership as a subsystem of a courier: the merged directory, and this courier's own entry. */
public final class MembershipExtension implements CourierExtension {
  private final Reader reader;
  private MembershipSettings settings;
  private ExtensionContext surroundings;
  private MergedDirectory directory;
  private EurekaRegistration registration;

  /** Reads the settings again; the reason of an {@link IllegalArgumentException} is one line. */
  @FunctionalInterface
  public interface Reader {
    /** The settings as they are now. */
    MembershipSettings read();
  }

  /** Begins with what the reader reads; fails as it does. */
  public MembershipExtension(final Reader reader) {
    this.reader = reader;
    this.settings = reader.read();
  }

  @Override
  public EndpointDirectory createDirectory(
      final EndpointDirectory own, final ExtensionContext given) {
    surroundings = given;
    directory = new MergedDirectory(own, given, settings);
    return directory;
  }

  @Override
  public void onServing(final String address) {
    if (settings.registration() != null) {
      registration =
          new EurekaRegistration(
              settings.registration(),
              surroundings.eventLoop(),
              surroundings.clock(),
              surroundings.config().name(),
              address);
    }
  }

  @Override
  public void onShutdownStarted() {
    if (registration != null) {
      registration.leave();
    }
  }

  @Override
  public boolean tryFinishShutdown() {
    return registration == null || registration.cancel();
  }

  @Override
  public void onConfigurationReload() {
    final MembershipSettings fresh;
    try {
      fresh = reader.read();
    } catch (final IllegalArgumentException e) {
      Log.info("SIGHUP: the registries stay as they were: " + e.getMessage());
      return;
    }
    surroundings
        .eventLoop()
        .execute(
            () -> {
              if (!fresh.rules().equals(settings.rules())
                  || !Objects.equals(fresh.registration(), settings.registration())) {
                Log.info(
                    "SIGHUP: new rules of membership, and a new entry of this courier, count from the next start");
              }
              settings =
                  new MembershipSettings(
                      settings.rules(), fresh.registries(), settings.registration());
              directory.registries(fresh.registries());
            });
  }

  /** Who is in the pool, told by whom and why. Called on the event loop. */
  public JsonNode status() {
    final ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.setAll((ObjectNode) directory.status());
    if (registration != null) {
      root.set("registration", MergedDirectory.JSON.valueToTree(registration.status()));
    }
    return root;
  }
}
