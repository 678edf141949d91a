package thistleturn.decisions.peers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An installed view with an index of its members by name. */
final class IndexedView {
  private final View view;
  private final Map<String, PeerId> memberIdsByName = new HashMap<>();

  IndexedView(final View view) {
    this.view = view;
    view.members().forEach(member -> memberIdsByName.put(member.id().name(), member.id()));
  }

  View view() {
    return view;
  }

  ViewId id() {
    return view.viewId();
  }

  List<ViewMember> members() {
    return view.members();
  }

  int size() {
    return view.members().size();
  }

  /** Returns true if that incarnation is a member. */
  boolean isMember(final PeerId id) {
    return id.equals(memberIdsByName.get(id.name()));
  }

  /** Describes the view to operators. */
  String describe() {
    return "view " + view.generation() + "." + view.number() + " of " + view.members().size();
  }
}
