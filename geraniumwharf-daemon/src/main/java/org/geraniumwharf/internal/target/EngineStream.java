package org.geraniumwharf.internal.target;

import java.util.Optional;
import org.geraniumwharf.schema.targets.LoadReport;

/** A stream of server-sent events from an engine. */
public interface EngineStream extends AutoCloseable {

  /**
   * Waits for the next event.
   *
   * @return its data; empty when the connection ended
   * @throws TargetCallException if the connection broke or the time is over
   */
  Optional<String> next() throws TargetCallException;

  /** Returns the load that the engine reported with the answer's header. */
  Optional<LoadReport> load();

  /** Closes the connection, which cancels the run at an engine that can. */
  @Override
  void close();
}
