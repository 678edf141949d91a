package thistleturn.courier;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;
import thistleturn.courier.handover.EarlierProcesses;
import thistleturn.courier.journal.Journal;

/** All shards of a courier, and the ways to reach each of them on its own event loop. */
final class ShardGroup {
  private final List<Shard> shards = new ArrayList<>();

  /** Creates the shards with their event loops; {@code factory} makes one of them. */
  ShardGroup(final int shardCount, final Supplier<Shard> factory) {
    for (int index = 0; index < shardCount; index++) {
      shards.add(factory.get());
    }
  }

  /** Returns the number of shards. */
  int size() {
    return shards.size();
  }

  /** Returns the shard whose event loop also owns what all shards share. */
  Shard first() {
    return shards.get(0);
  }

  /** Returns a shard by its number. */
  Shard get(final int index) {
    return shards.get(index);
  }

  /** Returns the shards in the order of their numbers. */
  Stream<Shard> stream() {
    return shards.stream();
  }

  /** Returns the event loop of each shard, in the order of their numbers. */
  List<EventLoop> eventLoops() {
    return shards.stream().map(Shard::eventLoop).toList();
  }

  /** Returns the decision loop of each shard, in the order of their numbers. */
  List<DecisionLoop> decisionLoops() {
    return shards.stream().map(Shard::decisionLoop).toList();
  }

  /** Queues a task for each shard on its event loop. */
  void executeOnEach(final Consumer<Shard> task) {
    shards.forEach(shard -> shard.eventLoop().execute(() -> task.accept(shard)));
  }

  /** Queues a query for each shard on its event loop, and collects the results. */
  <T> CompletionStage<List<T>> queryEach(final Function<Shard, T> query) {
    final List<CompletableFuture<T>> results =
        shards.stream()
            .map(
                shard -> CompletableFuture.supplyAsync(() -> query.apply(shard), shard.eventLoop()))
            .toList();
    return CompletableFuture.allOf(results.toArray(CompletableFuture[]::new))
        .thenApply(done -> results.stream().map(CompletableFuture::join).toList());
  }

  /**
   * Opens the journal of each shard; the folder must be locked by this process.
   *
   * @param earlier the processes whose calls the journals may show as in flight
   */
  void openJournals(final StateFolder folder, final EarlierProcesses earlier) throws IOException {
    final List<Journal> journals = folder.openJournals(shards.size());
    for (int index = 0; index < shards.size(); index++) {
      shards.get(index).useJournal(journals.get(index), earlier);
    }
    folder.lock().recordHolder();
  }

  /**
   * Ends all event loops and everything that runs on them, and waits for that. Must not be called
   * on one of them.
   */
  void terminateEventLoops() {
    // Otherwise a loop that is ending would repeat the calls that its own end broke, while the
    // next process repeats them too.
    shards.stream()
        .filter(shard -> !shard.eventLoop().isShuttingDown())
        .forEach(shard -> shard.eventLoop().execute(shard::halt));
    final List<? extends Future<?>> terminations =
        shards.stream().map(Shard::terminateEventLoop).toList();
    terminations.forEach(Future::awaitUninterruptibly);
  }

  /** Closes all journals that are open. */
  void closeJournals() {
    shards.forEach(Shard::closeJournal);
  }
}
