package thistleturn.peers;

/** The types of gossip items. Their places are on the wire: new ones come last. */
enum GossipItemType {
  MEMBER_UPDATE,
  REACHABILITY_REPORT,
  HEARTBEAT,
  STATUS_UPDATE,
  FULL_STATE_REQUEST,
  VIEW_DECISION,
  PAXOS_MESSAGE
}
