package thistleturn.courier;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistleturn.decisions.model.MessageClass;

/**
 * The configured message classes, by name and by the index under which the controller knows them.
 */
final class MessageClasses {
  private final List<MessageClass> classes;
  private final Map<String, Integer> indexes = new HashMap<>();

  MessageClasses(final List<MessageClass> classes) {
    this.classes = classes;
    classes.forEach(messageClass -> indexes.put(messageClass.name(), indexes.size()));
  }

  /** Returns all classes in the order of their indexes. */
  List<MessageClass> all() {
    return classes;
  }

  /** Returns the number of distinct classes. */
  int size() {
    return indexes.size();
  }

  boolean contains(final String className) {
    return indexes.containsKey(className);
  }

  /** Returns the class of that name, or null if it is not configured. */
  MessageClass get(final String className) {
    final Integer index = indexes.get(className);
    return index == null ? null : classes.get(index);
  }

  /** Returns the index of a configured class. */
  int indexOf(final String className) {
    return indexes.get(className);
  }
}
