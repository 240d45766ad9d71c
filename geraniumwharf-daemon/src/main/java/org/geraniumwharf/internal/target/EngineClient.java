package org.geraniumwharf.internal.target;

/** Generation at a model engine. */
public interface EngineClient {

  /** Prepares a streamed generation; nothing is sent before it is opened. */
  EngineCall prepare(TargetRequest request);

  /**
   * Generates a whole answer.
   *
   * @throws TargetCallException if there is none, or it belongs to another attempt
   * @throws TargetRejection if the engine refuses the request itself
   */
  TargetAnswer generate(TargetRequest request) throws TargetCallException, TargetRejection;
}
