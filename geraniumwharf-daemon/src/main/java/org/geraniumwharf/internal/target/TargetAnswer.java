package org.geraniumwharf.internal.target;

import java.util.Optional;
import org.geraniumwharf.schema.targets.LoadReport;

/** The whole answer of a target. */
public final class TargetAnswer {

  private final int status;
  private final String contentType;
  private final byte[] body;
  private final Optional<LoadReport> load;

  private TargetAnswer(int status, String contentType, byte[] body, Optional<LoadReport> load) {
    this.status = status;
    this.contentType = contentType;
    this.body = body;
    this.load = load;
  }

  /** Creates an answer; the body is not copied and must not be changed. */
  public static TargetAnswer of(
      int status, String contentType, byte[] body, Optional<LoadReport> load) {
    return new TargetAnswer(status, contentType, body, load);
  }

  /** Returns a copy with another body. */
  public TargetAnswer withBody(byte[] newBody) {
    return new TargetAnswer(status, contentType, newBody, load);
  }

  public int status() {
    return status;
  }

  public String contentType() {
    return contentType;
  }

  /** Returns the body itself, which the caller does not change. */
  public byte[] body() {
    return body;
  }

  public Optional<LoadReport> load() {
    return load;
  }
}
