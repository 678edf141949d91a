package thistleturn.courier;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.function.Supplier;
import thistleturn.courier.port.DirectiveSink;
import thistleturn.courier.runtime.Clock;
import thistleturn.courier.runtime.CourierConfig;

/**
 * The parts of a courier that an extension may use. The suppliers and the directive sink must be
 * used on the event loop, once the courier is ready.
 *
 * @param config the courier's configuration
 * @param eventLoop the courier's first event loop
 * @param clock the courier's monotonic clock
 * @param routeStatus returns the status of each destination as JSON
 * @param localHealth returns the health of the courier itself as JSON
 * @param directives accepts directives on destinations and endpoints
 */
public record ExtensionContext(
    CourierConfig config,
    EventLoop eventLoop,
    Clock clock,
    Supplier<JsonNode> routeStatus,
    Supplier<JsonNode> localHealth,
    DirectiveSink directives) {}
