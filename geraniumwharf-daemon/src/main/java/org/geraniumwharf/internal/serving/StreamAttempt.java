package org.geraniumwharf.internal.serving;

import java.util.Optional;
import org.geraniumwharf.internal.target.EngineCall;
import org.geraniumwharf.internal.target.EngineStream;
import org.geraniumwharf.internal.target.TargetCallException;
import org.geraniumwharf.internal.target.TargetRejection;

/**
 * One attempt of a streamed generation, from its call to its last event. One thread at a time reads
 * events; {@link #cancel} may be called from any thread.
 */
final class StreamAttempt implements AutoCloseable {

  private final TargetChooser.Choice choice;
  private final AttemptTracker tracker;
  private final EngineCall call;
  private Optional<EngineStream> stream = Optional.empty();
  private Optional<String> firstEvent = Optional.empty();

  StreamAttempt(TargetChooser.Choice choice, AttemptTracker tracker, EngineCall call) {
    this.choice = choice;
    this.tracker = tracker;
    this.call = call;
  }

  TargetChooser.Choice choice() {
    return choice;
  }

  AttemptTracker tracker() {
    return tracker;
  }

  /** Opens the stream and waits for its first event, which {@link #next} then returns. */
  void awaitFirstEvent() throws TargetCallException, TargetRejection {
    EngineStream opened = call.open();
    stream = Optional.of(opened);
    tracker.recordLoadReport(opened.load());
    firstEvent = opened.next();
    if (firstEvent.isEmpty()) {
      throw TargetCallException.unclear(choice.target().id(), "the stream ended at once");
    }
  }

  Optional<String> next() throws TargetCallException {
    if (firstEvent.isPresent()) {
      Optional<String> event = firstEvent;
      firstEvent = Optional.empty();
      return event;
    }
    return stream.orElseThrow().next();
  }

  /** Cancels the call. May be called from any thread. */
  void cancel() {
    call.cancel();
  }

  @Override
  public void close() {
    call.cancel();
    stream.ifPresent(EngineStream::close);
    tracker.close();
  }
}
