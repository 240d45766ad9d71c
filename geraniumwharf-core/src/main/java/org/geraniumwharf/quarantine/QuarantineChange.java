package org.geraniumwharf.quarantine;

/**
 * A prompt part that was quarantined or released.
 *
 * @param part id of the part
 * @param isQuarantined true if the part was quarantined, false if it was released
 * @param crashes number of distinct crashes that count against the part here
 * @param cause why it changed
 */
public record QuarantineChange(String part, boolean isQuarantined, int crashes, String cause) {

  static QuarantineChange quarantined(String part, int crashes, String cause) {
    return new QuarantineChange(part, true, crashes, cause);
  }

  static QuarantineChange released(String part, int crashes, String cause) {
    return new QuarantineChange(part, false, crashes, cause);
  }
}
