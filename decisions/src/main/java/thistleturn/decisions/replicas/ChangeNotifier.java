package thistleturn.decisions.replicas;

import java.util.Set;

/**
 * Notifies the owner of subjects whose merged value may have changed. Entries of types unknown in
 * this version have no merged value.
 */
final class ChangeNotifier {
  private final ReplicationActions actions;

  ChangeNotifier(final ReplicationActions actions) {
    this.actions = actions;
  }

  void notifyChanged(final Set<SubjectChanged> changes) {
    for (final SubjectChanged change : changes) {
      final EntryType type = EntryType.fromCode(change.typeCode());
      if (type != null) {
        actions.onSubjectChanged(type, change.subject());
      }
    }
  }
}
