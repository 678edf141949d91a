package thistleturn.courier;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import thistleturn.courier.port.Carrier;
import thistleturn.courier.port.Ends;
import thistleturn.courier.port.Front;
import thistleturn.courier.port.Held;
import thistleturn.courier.port.Store.Flush;
import thistleturn.courier.runtime.Config;

/** What may be told, and when, by what the journal says of its last flush. */
@Tag("faults")
final class PromisesTest {
  private static final long NOW_US = 1_000_000;

  private final List<String> done = new ArrayList<>();
  private final Promises promises = new Promises(new Keeper(), new Told());

  private final class Keeper implements Promises.Keeper {
    @Override
    public void accept(final OpenMessage message) {
      done.add("accept " + message.held.id());
      if (message.held.id().equals("bad")) {
        throw new IllegalStateException("its answer fails");
      }
    }

    @Override
    public void refuseUnwritten(final OpenMessage message) {
      done.add("refuse " + message.held.id());
    }

    @Override
    public void start(final Carrier.Call call) {
      done.add("start");
    }

    @Override
    public void drop(final Carrier.Call call) {
      done.add("drop");
    }
  }

  private final class Told implements Ends {
    @Override
    public void add(final Held held) {
      done.add("end " + held.id());
    }

    @Override
    public void flush() {
      // Nobody listens.
    }

    @Override
    public boolean isEmpty() {
      return true;
    }

    @Override
    public void reload(final Config fresh) {
      // It goes nowhere.
    }
  }

  private static final class NoReply implements Front.Reply {
    @Override
    public void accepted() {
      // Nobody listens.
    }

    @Override
    public void refused(final Front.Refusal why, final long retryAfterUs) {
      // Nobody listens.
    }

    @Override
    public void failed() {
      // Nobody listens.
    }

    @Override
    public void unusable(final Front.Fault fault) {
      // Nobody listens.
    }
  }

  private static Held held(final String id, final long validUntilUs) {
    return new Held(id, "safe", null, 1, validUntilUs, new byte[0]);
  }

  private static OpenMessage message(final String id) {
    return new OpenMessage(held(id, 2 * NOW_US), null, 2 * NOW_US, new NoReply());
  }

  private void promiseAll() {
    promises.accept(message("m"), NOW_US);
    promises.refuse(() -> done.add("refusal"), NOW_US);
    promises.call(
        new Carrier.Call() {
          @Override
          public long endpoint() {
            return 1;
          }

          @Override
          public long sentUs() {
            return NOW_US;
          }
        });
    promises.end(held("later", 2 * NOW_US));
    promises.end(held("due", NOW_US));
  }

  @Test
  void whatIsWrittenIsKept() {
    promiseAll();
    promises.keep(Flush.SAFE, NOW_US);
    assertEquals(List.of("refusal", "accept m", "start", "end later", "end due"), done);
  }

  @Test
  void whatIsNotWrittenIsTurnedAwayAndOnlyEndsThatNoRestartUndoesAreTold() {
    promiseAll();
    promises.keep(Flush.FAILED, NOW_US);
    assertEquals(List.of("refusal", "refuse m", "drop", "end due"), done);
    done.clear();
    promises.keep(Flush.FAILED, 2 * NOW_US);
    assertEquals(List.of("end later"), done, "its time is up now");
  }

  @Test
  void whatIsNotCertainWaitsAndThenIsTurnedAway() {
    promiseAll();
    promises.keep(Flush.UNKNOWN, NOW_US);
    assertEquals(List.of("drop", "end due"), done);
    done.clear();
    promises.keep(Flush.UNKNOWN, NOW_US + 250_000);
    assertEquals(List.of("refusal", "refuse m"), done, "its client waits no longer than 400 ms");
  }

  @Test
  void oneThatFailsKeepsNoOtherFromBeingKept() {
    promises.refuse(
        () -> {
          throw new IllegalStateException("its connection fails");
        },
        NOW_US);
    promises.accept(message("bad"), NOW_US);
    promises.accept(message("good"), NOW_US);
    promises.end(held("ended", NOW_US));
    promises.keep(Flush.SAFE, NOW_US);
    assertEquals(List.of("accept bad", "accept good", "end ended"), done);
  }
}
