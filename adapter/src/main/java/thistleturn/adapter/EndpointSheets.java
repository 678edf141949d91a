package thistleturn.adapter;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thistleturn.settings.Fields;

/** The endpoint lists that the simulator sent, by number. A newer list replaces an older one. */
final class EndpointSheets {
  private final Map<Integer, List<Fields>> sheets = new HashMap<>();

  /** Adds or replaces a list; {@code header} is the line that announced it. */
  void put(final Fields header, final List<Fields> rows) {
    sheets.put(number(header), rows);
  }

  /** Returns the rows of the list that an event refers to. */
  List<Fields> rows(final Fields event) {
    final List<Fields> rows = sheets.get(number(event));
    if (rows == null) {
      throw event.malformed("unknown sheet " + event.text("bank"));
    }
    return rows;
  }

  private static int number(final Fields fields) {
    return (int) fields.integer("bank");
  }
}
