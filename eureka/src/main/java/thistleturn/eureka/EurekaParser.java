package thistleturn.eureka;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.core.json.async.NonBlockingJsonParser;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.function.Consumer;

/**
 * Reads a registry's answer as it comes, holding one instance at a time: {@code applications}, {@code application} or
 * {@code instance} at its root, lists with one element as a bare object too, as older registries write them. Nesting
 * and lengths are bounded.
 */
public final class EurekaParser {
    private static final int MOST_DEPTH = 24;
    private static final int MOST_TEXT_CHARS = 1 << 16;
    private static final int MOST_NAME_CHARS = 1024;
    private static final int CHUNK_BYTES = 1 << 13;
    private static final JsonFactory FACTORY = JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(MOST_DEPTH).maxStringLength(MOST_TEXT_CHARS)
                    .maxNameLength(MOST_NAME_CHARS).maxNumberLength(40).build()).build();

    private final MetadataNames names;
    private final Consumer<EurekaInstance> sink;
    private final NonBlockingJsonParser parser;
    private final byte[] chunk = new byte[CHUNK_BYTES];
    /** The names of the fields that are open, by depth; null for an element of a list. */
    private final String[] path = new String[MOST_DEPTH + 2];
    private int depth;
    private boolean ended;
    private boolean hasRoot;
    private String hash = "";

    /** The depth of the instance's own fields, or 0 outside one; and what was read of it so far. */
    private int instanceDepth;
    private String app;
    private String id;
    private String host;
    private String status;
    private String overridden;
    private String address;
    private int port;
    private boolean portEnabled;
    private long dirtyMs;
    private String action;
    private String destination;
    private String kind;
    private String zone;
    private String rate;

    /** Instances go to the sink as they are read. */
    public EurekaParser(final MetadataNames names, final Consumer<EurekaInstance> sink) throws IOException {
        this.names = names;
        this.sink = sink;
        this.parser = (NonBlockingJsonParser) FACTORY.createNonBlockingByteArrayParser();
    }

    /** Reads some more bytes. */
    public void feed(final ByteBuf bytes) throws IOException {
        final ByteArrayFeeder feeder = parser.getNonBlockingInputFeeder();
        while (bytes.isReadable()) {
            final int some = Math.min(bytes.readableBytes(), chunk.length);
            bytes.readBytes(chunk, 0, some);
            feeder.feedInput(chunk, 0, some);
            read();
        }
    }

    /** The answer has ended; an error if it is not whole, or none of a registry's. */
    public void end() throws IOException {
        parser.getNonBlockingInputFeeder().endOfInput();
        read();
        if (!ended || !hasRoot) {
            throw new IOException("the answer is cut off, or not a registry's");
        }
    }

    /** The hash of its own that the answer told; empty if none. */
    public String hash() {
        return hash;
    }

    private void read() throws IOException {
        JsonToken token = parser.nextToken();
        while (token != null && token != JsonToken.NOT_AVAILABLE) {
            switch (token) {
                case START_OBJECT -> open(true);
                case START_ARRAY -> open(false);
                case END_OBJECT, END_ARRAY -> close();
                case FIELD_NAME -> path[depth] = parser.currentName();
                default -> value();
            }
            token = parser.nextToken();
        }
    }

    private void open(final boolean object) throws IOException {
        if (depth > MOST_DEPTH) {
            throw new IOException("nested too deeply");
        }
        if (depth == 1) {
            hasRoot |= "applications".equals(path[1]) || "application".equals(path[1]) || "instance".equals(path[1]);
        }
        // An element of a list stands under the list's name.
        final boolean listed = path[depth] == null && depth > 0;
        final String name = listed ? path[depth - 1] : path[depth];
        if (object && instanceDepth == 0 && "instance".equals(name)) {
            begin();
            instanceDepth = depth + 1;
        }
        depth++;
        path[depth] = null;
    }

    private void close() throws IOException {
        if (depth == instanceDepth) {
            instanceDepth = 0;
            if (depth > 0) {
                sink.accept(new EurekaInstance(app, id.isEmpty() ? host : id, status, overridden, address, port,
                        portEnabled, dirtyMs, action, destination, kind, zone, rate));
            }
        }
        depth--;
        ended = depth == 0;
    }

    private void begin() {
        app = "";
        id = "";
        host = "";
        status = "";
        overridden = "";
        address = "";
        port = -1;
        portEnabled = true;
        dirtyMs = 0;
        action = "";
        destination = "";
        kind = "";
        zone = "";
        rate = "";
    }

    private void value() throws IOException {
        final String name = path[depth];
        if (name == null) {
            return;
        }
        if (instanceDepth == 0) {
            if (name.equals("apps__hashcode") && "applications".equals(path[depth - 1])) {
                hash = parser.getText();
            }
        } else if (depth == instanceDepth) {
            own(name);
        } else if (depth == instanceDepth + 1) {
            within(path[instanceDepth], name);
        }
    }

    private void own(final String name) throws IOException {
        switch (name) {
            case "app" -> app = parser.getText();
            case "instanceId" -> id = parser.getText();
            case "hostName" -> host = parser.getText();
            case "status" -> status = parser.getText();
            case "overriddenstatus", "overriddenStatus" -> overridden = parser.getText();
            case "ipAddr" -> address = parser.getText();
            case "lastDirtyTimestamp" -> dirtyMs = whole(parser.getText());
            case "actionType" -> action = parser.getText();
            // An older spelling: the port as a plain number.
            case "port" -> port = (int) Math.min(whole(parser.getText()), Integer.MAX_VALUE);
            default -> { }
        }
    }

    private void within(final String section, final String name) throws IOException {
        if ("port".equals(section)) {
            if (name.equals("$")) {
                port = (int) Math.min(whole(parser.getText()), Integer.MAX_VALUE);
            } else if (name.equals("@enabled")) {
                portEnabled = parser.getText().equals("true");
            }
        } else if ("metadata".equals(section)) {
            if (name.equals(names.destination())) {
                destination = parser.getText();
            } else if (name.equals(names.kind())) {
                kind = parser.getText();
            } else if (name.equals(names.zone())) {
                zone = parser.getText();
            } else if (name.equals(names.rate())) {
                rate = parser.getText();
            }
        }
    }

    /** A whole number that is not negative, or -1. */
    static long whole(final String text) {
        try {
            return Math.max(-1, Long.parseLong(text));
        } catch (final NumberFormatException e) {
            return -1;
        }
    }
}
