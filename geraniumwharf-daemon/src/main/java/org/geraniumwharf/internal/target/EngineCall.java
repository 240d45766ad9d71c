package org.geraniumwharf.internal.target;

/** A streamed generation that can be cancelled by another thread while it is opened or read. */
public interface EngineCall {

  /**
   * Sends the request and waits for the answer's header.
   *
   * @throws TargetCallException if there is none, or it belongs to another attempt
   * @throws TargetRejection if the engine refuses the request itself
   */
  EngineStream open() throws TargetCallException, TargetRejection;

  /** Ends the call wherever it is; a blocked reader fails. */
  void cancel();
}
