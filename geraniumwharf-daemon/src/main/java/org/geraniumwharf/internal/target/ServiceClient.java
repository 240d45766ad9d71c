package org.geraniumwharf.internal.target;

/** Calls of a plain service. */
public interface ServiceClient {

  /**
   * Calls a service that may be called again; connections are reused.
   *
   * @param maxAnswerBytes bound on the answer's body
   */
  TargetAnswer call(TargetRequest request, int maxAnswerBytes) throws TargetCallException;

  /**
   * Calls a service that must not be called twice. A new connection is used, so that a request is
   * never lost on an old one, and "not run" is told apart with certainty.
   *
   * @param maxAnswerBytes bound on the answer's body
   */
  TargetAnswer callOnce(TargetRequest request, int maxAnswerBytes) throws TargetCallException;
}
