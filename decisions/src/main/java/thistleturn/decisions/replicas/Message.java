package thistleturn.decisions.replicas;

import java.util.List;
import java.util.Map;

/** What copies tell each other. Each may be lost, doubled, late or out of order. */
public sealed interface Message {
  /** About how many bytes it takes on its way. */
  int bytes();

  /** Fresh entries, told at once; whoever lacks earlier ones takes them over all the same. */
  record News(List<Delta> deltas) implements Message {
    @Override
    public int bytes() {
      return 8 + bytesOf(deltas);
    }
  }

  /**
   * A sum over all that is held, by which two copies see that they are equal; and how many entries
   * that is.
   */
  record Mark(long sum, long entries) implements Message {
    @Override
    public int bytes() {
      return 24;
    }
  }

  /**
   * What is known of some writers, or up to where a piece told of them: all those whose part it is.
   * It asks for what is newer; a writer of that part which is not named is not known at all.
   *
   * @param part which of {@code parts}, from 0
   * @param wantsBack the receiver is to tell in its turn what it knows, if it lacks something
   */
  record Page(int part, int parts, Map<Writer, Long> known, boolean wantsBack) implements Message {
    @Override
    public int bytes() {
      int bytes = 12;
      for (final Writer writer : known.keySet()) {
        bytes += 20 + writer.name().length();
      }
      return bytes;
    }
  }

  /** What a page showed to be lacking, or the first of it; {@code more}: to be asked for again. */
  record Piece(int part, int parts, List<Delta> deltas, boolean more) implements Message {
    @Override
    public int bytes() {
      return 12 + bytesOf(deltas);
    }
  }

  private static int bytesOf(final List<Delta> deltas) {
    int bytes = 0;
    for (final Delta delta : deltas) {
      bytes += delta.bytes();
    }
    return bytes;
  }
}
