package org.geraniumwharf.internal.state;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.PublishRecord;

/** The configuration in force and the records of the newest accepted publications. */
final class PublicationTable {

  /** A publication that is sent again is recognised as long as its record is among these. */
  private static final int MAX_RECORDS = 1000;

  private final Deque<PublishRecord> records = new ArrayDeque<>();
  private Configuration configuration = Configuration.empty();
  private Optional<byte[]> document = Optional.empty();

  /**
   * Applies a publication once. A repeated publish id returns the version of the first attempt if
   * the digest is the same, and a conflict if it differs.
   */
  PublishAnswer publish(PublishCommand command) {
    Optional<PublishRecord> earlier = find(command.publishId());
    if (earlier.isPresent()) {
      boolean hasSameContent = earlier.get().digest().equals(command.digest());
      return answer(
          hasSameContent ? PublishOutcome.REPEATED : PublishOutcome.CONFLICT,
          earlier.get().version(),
          earlier);
    }
    if (command.version().isPresent()) {
      return publishVersion(command, command.version().get());
    }
    if (command.baseVersion() != configuration.version()) {
      return answer(
          PublishOutcome.CONFLICT, configuration.version(), winnerAfter(command.baseVersion()));
    }
    return accept(command, command.baseVersion() + 1);
  }

  /**
   * Publishes under the version that the command names. If a newer or the same version is already
   * in force, nothing changes.
   */
  private PublishAnswer publishVersion(PublishCommand command, long version) {
    if (version <= configuration.version()) {
      return answer(PublishOutcome.REPEATED, configuration.version(), Optional.empty());
    }
    if (command.baseVersion() != configuration.version()) {
      return answer(PublishOutcome.CONFLICT, configuration.version(), Optional.empty());
    }
    return accept(command, version);
  }

  private PublishAnswer accept(PublishCommand command, long version) {
    configuration = configuration.withChanges(version, command.upserts(), command.removals());
    document = command.document();
    PublishRecord record =
        PublishRecord.of(
            version, command.publishId(), command.operator(), command.digest(), command.atMillis());
    records.addLast(record);
    if (records.size() > MAX_RECORDS) {
      records.removeFirst();
    }
    return answer(PublishOutcome.ACCEPTED, version, Optional.of(record));
  }

  /**
   * Returns the publication that replaced the base version, or the newest one if that record has
   * been removed.
   */
  private Optional<PublishRecord> winnerAfter(long baseVersion) {
    return records.stream()
        .filter(record -> record.version() == baseVersion + 1)
        .findFirst()
        .or(() -> Optional.ofNullable(records.peekLast()));
  }

  private Optional<PublishRecord> find(String publishId) {
    return records.stream().filter(record -> record.publishId().equals(publishId)).findFirst();
  }

  private static PublishAnswer answer(
      PublishOutcome outcome, long version, Optional<PublishRecord> winner) {
    return PublishAnswer.of(outcome, version, winner, List.of());
  }

  Configuration configuration() {
    return configuration;
  }

  List<PublishRecord> records() {
    return List.copyOf(records);
  }

  /** Returns the document that was published with the configuration in force, if there was one. */
  Optional<byte[]> document() {
    return document;
  }

  void restore(
      Configuration restored,
      Optional<byte[]> restoredDocument,
      List<PublishRecord> restoredRecords) {
    configuration = restored;
    document = restoredDocument;
    records.clear();
    records.addAll(restoredRecords);
  }
}
