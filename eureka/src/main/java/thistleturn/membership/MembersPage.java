package thistleturn.membership;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import thistleturn.decisions.membership.Membership;
import thistleturn.decisions.membership.MergedEndpoint;
import thistleturn.decisions.membership.SourceStatus;
import thistleturn.eureka.EurekaSource;

/**
 * Writes the admin page of the merged directory: its sources and its endpoints. Ages are in
 * milliseconds, -1 for never.
 */
final class MembersPage {
  /** Converts maps of counts to JSON. */
  static final ObjectMapper JSON = new ObjectMapper();

  private static final long US_PER_MS = 1000;
  private static final long NEVER = -1;

  private final long nowUs;

  MembersPage(final long nowUs) {
    this.nowUs = nowUs;
  }

  ObjectNode write(final Membership membership, final Map<String, EurekaSource> registries) {
    final ObjectNode page = JsonNodeFactory.instance.objectNode();
    final Map<String, SourceStatus> sourcesByName = new HashMap<>();
    final ArrayNode sources = page.putArray("sources");
    for (final SourceStatus source : membership.sourceStatuses()) {
      sourcesByName.put(source.name(), source);
      writeSource(sources.addObject(), source, registries.get(source.name()));
    }
    final ArrayNode members = page.putArray("members");
    for (final MergedEndpoint endpoint : membership.endpoints()) {
      writeMember(members.addObject(), endpoint, sourcesByName.get(endpoint.decidedBy()));
    }
    return page;
  }

  private void writeSource(
      final ObjectNode node, final SourceStatus source, final EurekaSource registry) {
    node.put("name", source.name())
        .put("rank", source.rank())
        .put("state", state(source))
        .put("heard_ms_ago", ageMs(source.lastResponseUs()))
        .put("entries", source.entries())
        .put("doubted", source.missingEntries())
        .put("dropped", source.droppedEntries())
        .put("implausible", source.implausibleSnapshots());
    if (registry != null) {
      node.set("registry", JSON.valueToTree(registry.status()));
    }
  }

  private static String state(final SourceStatus source) {
    if (source.unreachableSinceUs() >= 0) {
      return "lost";
    }
    return source.implausibleSinceUs() >= 0 ? "doubted" : "heard";
  }

  private void writeMember(
      final ObjectNode node, final MergedEndpoint endpoint, final SourceStatus decidedBy) {
    node.put("destination", endpoint.destination())
        .put("address", endpoint.address())
        .put("zone", endpoint.zone())
        .put("kind", endpoint.kind())
        .put("rate", endpoint.ratePerSecond())
        .put("state", endpoint.state().name().toLowerCase(Locale.ROOT))
        .put("because", endpoint.reason().name().toLowerCase(Locale.ROOT))
        .put("by", endpoint.decidedBy())
        .put("since_ms_ago", ageMs(endpoint.stateSinceUs()))
        .put("heard_ms_ago", decidedBy == null ? NEVER : ageMs(decidedBy.lastResponseUs()));
  }

  private long ageMs(final long us) {
    return us == 0 ? NEVER : (nowUs - us) / US_PER_MS;
  }
}
