package org.geraniumwharf.internal.node;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.control.Leadership;
import org.geraniumwharf.control.StoreReader;
import org.geraniumwharf.control.ViewSink;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.RaftMessage;

/**
 * A control instance that leads and takes no calls.
 *
 * @param lastConfirmedAt when a quorum confirmed it for the last time; if empty, it always does
 */
record LeadingInstance(Leadership leadership, Optional<Instant> lastConfirmedAt)
    implements ControlInstance {

  LeadingInstance(Leadership leadership) {
    this(leadership, Optional.empty());
  }

  @Override
  public Optional<Leadership> leadership(Instant now) {
    return Optional.of(
        new Leadership(
            leadership.term(),
            leadership.since(),
            lastConfirmedAt
                .map(at -> Duration.between(at, now))
                .orElseGet(leadership::confirmedAge),
            leadership.isFirst()));
  }

  @Override
  public void receive(RaftMessage message) {}

  @Override
  public CompletableFuture<ControlAnswer> call(PeerMessage call) {
    return new CompletableFuture<>();
  }

  @Override
  public void watch(long afterIndex, ViewSink sink) {}

  @Override
  public boolean isJoined() {
    return true;
  }

  @Override
  public void readStores(StoreReader reader) {}

  @Override
  public CompletableFuture<Throwable> failure() {
    return new CompletableFuture<>();
  }

  @Override
  public boolean isInitialised() {
    return true;
  }

  @Override
  public CompletableFuture<Void> shutdown() {
    return CompletableFuture.completedFuture(null);
  }
}
