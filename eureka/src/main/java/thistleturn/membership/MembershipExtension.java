package thistleturn.membership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import thistleturn.courier.CourierExtension;
import thistleturn.courier.ExtensionContext;
import thistleturn.courier.port.EndpointDirectory;
import thistleturn.courier.runtime.Log;
import thistleturn.eureka.EurekaRegistration;

/**
 * The membership subsystem of a courier: the merged directory, and the courier's own registration.
 */
public final class MembershipExtension implements CourierExtension {
  private final SettingsReader reader;
  private MembershipSettings settings;
  private ExtensionContext context;
  private MergedDirectory directory;
  private EurekaRegistration registration;

  /** Reads the settings; the message of its {@link IllegalArgumentException} is one line. */
  @FunctionalInterface
  public interface SettingsReader {
    /** The current settings. */
    MembershipSettings read();
  }

  /**
   * Reads the initial settings.
   *
   * @throws IllegalArgumentException if the reader does
   */
  public MembershipExtension(final SettingsReader reader) {
    this.reader = reader;
    this.settings = reader.read();
  }

  @Override
  public EndpointDirectory createDirectory(
      final EndpointDirectory platformDirectory, final ExtensionContext givenContext) {
    context = givenContext;
    directory = new MergedDirectory(platformDirectory, givenContext, settings);
    return directory;
  }

  @Override
  public void onServing(final String address) {
    if (settings.registration() != null) {
      registration =
          new EurekaRegistration(
              settings.registration(),
              context.eventLoop(),
              context.clock(),
              context.config().name(),
              address);
    }
  }

  @Override
  public void onShutdownStarted() {
    if (registration != null) {
      registration.beginDraining();
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
    context.eventLoop().execute(() -> apply(fresh));
  }

  /** Changes the registries; all other settings take effect at the next start. */
  private void apply(final MembershipSettings fresh) {
    if (!fresh.merge().equals(settings.merge())
        || !Objects.equals(fresh.registration(), settings.registration())) {
      Log.info("SIGHUP: changed merge and registration settings take effect at the next start");
    }
    settings =
        new MembershipSettings(settings.merge(), fresh.registries(), settings.registration());
    directory.setRegistries(fresh.registries());
  }

  /** The page {@code /members} of the admin server. Has to run on the event loop. */
  public JsonNode status() {
    final ObjectNode page = directory.status();
    if (registration != null) {
      page.set("registration", MembersPage.JSON.valueToTree(registration.status()));
    }
    return page;
  }
}
