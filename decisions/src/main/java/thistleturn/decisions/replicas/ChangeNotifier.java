package thistleturn.decisions.replicas;

import java.util.Set;

/**
 * Notifies of subjects whose merged value may have changed; types of later versions have none here.
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
