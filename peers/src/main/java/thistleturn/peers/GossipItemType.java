package thistleturn.peers;

/** The types of gossip items. Their ordinals are sent on the wire, so new types are appended. */
enum GossipItemType {
  MEMBER_UPDATE,
  REACHABILITY_REPORT,
  HEARTBEAT,
  STATUS_UPDATE,
  FULL_STATE_REQUEST,
  VIEW_DECISION,
  PAXOS_MESSAGE
}
