package org.geraniumwharf.internal.target;

import java.time.Duration;
import java.util.Map;
import org.geraniumwharf.routing.RoutableTarget;

/** One HTTP request to a target. */
public final class TargetRequest {

  private final RoutableTarget target;
  private final String path;
  private final String attempt;
  private final Map<String, String> headers;
  private final byte[] body;
  private final String contentType;
  private final Duration timeout;

  private TargetRequest(
      RoutableTarget target,
      String path,
      String attempt,
      Map<String, String> headers,
      byte[] body,
      String contentType,
      Duration timeout) {
    this.target = target;
    this.path = path;
    this.attempt = attempt;
    this.headers = Map.copyOf(headers);
    this.body = body;
    this.contentType = contentType;
    this.timeout = timeout;
  }

  /**
   * Creates a request.
   *
   * @param path path and query below the target's address
   * @param attempt id that the answer must carry back
   * @param headers further headers
   * @param body not copied; the caller does not change it
   * @param timeout longest time until the whole answer has arrived
   */
  public static TargetRequest of(
      RoutableTarget target,
      String path,
      String attempt,
      Map<String, String> headers,
      byte[] body,
      String contentType,
      Duration timeout) {
    return new TargetRequest(target, path, attempt, headers, body, contentType, timeout);
  }

  public RoutableTarget target() {
    return target;
  }

  public String path() {
    return path;
  }

  public String attempt() {
    return attempt;
  }

  public Map<String, String> headers() {
    return headers;
  }

  byte[] body() {
    return body;
  }

  String contentType() {
    return contentType;
  }

  Duration timeout() {
    return timeout;
  }
}
