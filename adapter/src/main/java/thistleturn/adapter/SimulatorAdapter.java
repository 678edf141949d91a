package thistleturn.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import thistleturn.settings.Fields;

/**
 * Processes the batches of events that a simulator sends. Each event is passed to the instance that
 * it names; at the end of a batch every instance that had an event decides, in the order of their
 * numbers, and the reply with all their actions is written. Unknown events, settings and fields are
 * ignored.
 */
final class SimulatorAdapter {
  private final BufferedReader in;
  private final Writer out;
  private final StringBuilder reply = new StringBuilder();
  private final Map<Integer, SimulatedInstance> instances = new HashMap<>();

  /** The instances that had an event in the current batch. */
  private final Map<Integer, SimulatedInstance> changedInstances = new TreeMap<>();

  private final EndpointSheets sheets = new EndpointSheets();
  private long nowUs;
  private long lineNumber;

  SimulatorAdapter(final BufferedReader in, final Writer out) {
    this.in = in;
    this.out = out;
  }

  /** Processes all batches until the input ends. */
  void run() throws IOException {
    String line = readLine();
    while (line != null) {
      if (!line.isEmpty()) {
        handle(Fields.parse(line, lineNumber));
      }
      line = readLine();
    }
  }

  private String readLine() throws IOException {
    lineNumber++;
    return in.readLine();
  }

  private void handle(final Fields fields) throws IOException {
    switch (fields.tag()) {
      case "batch" -> nowUs = fields.integer("clock");
      case "flush" -> flushBatch();
      case "sheet" -> readSheet(fields);
      case "enlist" -> startInstance(fields);
      case "stop" -> stopInstance(fields);
      default -> dispatch(fields);
    }
  }

  private void flushBatch() throws IOException {
    changedInstances.values().forEach(instance -> instance.decide(nowUs));
    changedInstances.clear();
    reply.append("yield\n");
    out.append(reply);
    out.flush();
    reply.setLength(0);
  }

  private void readSheet(final Fields header) throws IOException {
    final long count = header.integer("rows");
    final List<Fields> rows = new ArrayList<>();
    while (rows.size() < count) {
      final String line = readLine();
      final Fields row = line == null ? null : Fields.parse(line, lineNumber);
      if (row == null || !row.tag().equals("m")) {
        throw header.malformed("a sheet of " + count + " rows ends after " + rows.size());
      }
      rows.add(row);
    }
    sheets.put(header, rows);
  }

  private void startInstance(final Fields fields) {
    final SimulatedInstance instance = new SimulatedInstance(instanceNumber(fields), fields, reply);
    instances.put(instance.number(), instance);
    changedInstances.put(instance.number(), instance);
  }

  private void stopInstance(final Fields fields) {
    final int number = instanceNumber(fields);
    instances.remove(number);
    changedInstances.remove(number);
  }

  private void dispatch(final Fields fields) {
    final SimulatedInstance instance = instances.get(instanceNumber(fields));
    if (instance == null) {
      throw fields.malformed("'" + fields.tag() + "' for an unknown instance");
    }
    instance.handle(fields, sheets, nowUs);
    changedInstances.put(instance.number(), instance);
  }

  private static int instanceNumber(final Fields fields) {
    return (int) fields.integer("i");
  }
}
