package thistleturn.courier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import thistleturn.courier.port.DirectiveSink;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;

/**
 * What an extension is given to work with; {@code routeStatus} tells how each destination is,
 * {@code health} how the courier itself is, {@code directives} takes words on them, all to be asked
 * on the loop once the courier is ready.
 */
public record ExtensionContext(
    CourierConfig config,
    EventLoop eventLoop,
    Clock clock,
    Supplier<JsonNode> routeStatus,
    Supplier<JsonNode> localHealth,
    DirectiveSink directives) {}
