package org.geraniumwharf.internal.node;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlClient;
import org.geraniumwharf.internal.fleet.FleetMembership;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.internal.fleet.TargetRegistrations;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.EvacuateAnswer;
import org.geraniumwharf.schema.messages.EvacuateCall;
import org.geraniumwharf.schema.messages.NameWeightsAnswer;
import org.geraniumwharf.schema.messages.NameWeightsCall;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishCall;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.messages.ReadDocumentAnswer;
import org.geraniumwharf.schema.messages.ReadDocumentCall;
import org.geraniumwharf.schema.messages.ReadIndexAnswer;
import org.geraniumwharf.schema.messages.ReadIndexCall;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;

/**
 * What operators and targets ask of the control role, in the product's own terms. Every method may
 * block for up to its timeout.
 */
public final class ControlService {

  private static final Duration PUBLISH_TIMEOUT = Duration.ofMillis(2500);
  private static final Duration READ_TIMEOUT = Duration.ofMillis(900);

  /**
   * Time from the receipt of an order to evacuate after which it is given up. Operators resend an
   * order for 5 s.
   */
  private static final Duration EVACUATE_TIMEOUT = Duration.ofMillis(2500);

  private static final Duration LEAVE_TIMEOUT = Duration.ofMillis(850);
  private static final long LEAVE_POLL_MILLIS = 10;

  private final String self;
  private final ControlClient client;
  private final FleetMembership membership;
  private final FleetViewHolder holder;
  private final TargetRegistrations registrations;
  private final boolean isEvacuationEnabled;
  private final EventLog log;
  private final InstantSource clock;

  ControlService(
      String self,
      ControlClient client,
      FleetMembership membership,
      FleetViewHolder holder,
      TargetRegistrations registrations,
      boolean isEvacuationEnabled,
      EventLog log,
      InstantSource clock) {
    this.self = self;
    this.client = client;
    this.membership = membership;
    this.holder = holder;
    this.registrations = registrations;
    this.isEvacuationEnabled = isEvacuationEnabled;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Publishes a set under the operator's own version; the highest wins. A version that is not
   * higher than the one in force changes nothing.
   *
   * @return the faults of the set; empty when it was accepted or overtaken
   * @throws ServingException if the outcome is not known
   */
  public List<String> publish(long version, List<PublishedObject> objects, byte[] document)
      throws ServingException {
    Instant begun = clock.instant();
    Instant deadline = begun.plus(PUBLISH_TIMEOUT);
    PublishCall call =
        PublishCall.of(
            UUID.randomUUID().toString(),
            self,
            0,
            objects,
            Optional.of(version),
            Optional.of(document));
    PublishAnswer answer = client.call(call, PublishAnswer.class, deadline);
    while (answer.outcome() == PublishOutcome.CONFLICT) {
      answer = client.call(call, PublishAnswer.class, deadline);
    }
    FleetSnapshot view = holder.current();
    log.info(
        Event.of("publish")
            .with("version", version)
            .with("outcome", answer.outcome())
            .with("inForce", answer.version())
            .with("by", self)
            .with("millis", Duration.between(begun, clock.instant()).toMillis())
            .with("viewVersion", view.configuration().version())
            .with("view", view.index())
            .with("faults", answer.faults()));
    return answer.faults();
  }

  /**
   * Logs values of a set that are ignored.
   *
   * @param version version that the operator gave the set
   */
  public void reportIgnored(long version, List<String> fields) {
    if (!fields.isEmpty()) {
      log.warn(Event.of("publish-ignored").with("version", version).with("fields", fields));
    }
  }

  /**
   * Returns the document of the set in force.
   *
   * @throws ServingException if no quorum confirms which set is the newest
   */
  public Optional<byte[]> readDocument() throws ServingException {
    return client
        .call(
            ReadDocumentCall.of(self), ReadDocumentAnswer.class, clock.instant().plus(READ_TIMEOUT))
        .document();
  }

  /**
   * Names the version of weights that every target of a model must come to.
   *
   * @throws ServingException if the outcome is not known
   */
  public void nameWeights(String model, long version) throws ServingException {
    NameWeightsAnswer answer =
        client.call(
            NameWeightsCall.of(model, version),
            NameWeightsAnswer.class,
            clock.instant().plus(PUBLISH_TIMEOUT));
    log.info(
        Event.of("weights-named")
            .with("model", model)
            .with("version", version)
            .with("newest", answer.version()));
  }

  /** Returns whether the settings allow orders to evacuate data centres. */
  public boolean isEvacuationEnabled() {
    return isEvacuationEnabled;
  }

  /**
   * Starts or ends the evacuation of a data centre. The newest index is confirmed first, so that an
   * order that is held up on its way to the leader is not applied behind an opposite one.
   *
   * @throws ServingException if the data centre is not known, the order was overtaken, or the
   *     outcome is not known
   */
  public void evacuate(String dataCentre, boolean isStart) throws ServingException {
    try {
      orderEvacuation(dataCentre, isStart);
    } catch (ServingException e) {
      log.warn(
          Event.of("evacuation-order-failed")
              .with("dataCentre", dataCentre)
              .with("start", isStart)
              .with("by", self)
              .with("cause", e.getMessage()));
      throw e;
    }
  }

  private void orderEvacuation(String dataCentre, boolean isStart) throws ServingException {
    Instant received = clock.instant();
    ReadIndexAnswer confirmed =
        client.call(ReadIndexCall.of(self), ReadIndexAnswer.class, received.plus(READ_TIMEOUT));
    EvacuateAnswer answer =
        client.call(
            () ->
                EvacuateCall.of(
                    dataCentre,
                    isStart,
                    confirmed.index(),
                    Duration.between(received, clock.instant()).toMillis()),
            EvacuateAnswer.class,
            received.plus(EVACUATE_TIMEOUT));
    log.info(
        Event.of(isStart ? "evacuation-start" : "evacuation-end")
            .with("dataCentre", dataCentre)
            .with("outcome", answer.outcome())
            .with("by", self)
            .with("receivedIndex", confirmed.index())
            .with("changedIndex", answer.changedIndex())
            .with("millis", Duration.between(received, clock.instant()).toMillis()));
    switch (answer.outcome()) {
      case ACCEPTED -> {}
      case OVERTAKEN -> throw ServingErrors.orderOvertaken(dataCentre);
      case UNKNOWN -> throw ServingErrors.unknownDataCentre(dataCentre);
    }
  }

  /**
   * Takes what a target tells of itself. One that is leaving is answered only once that is
   * committed and known here, so that no daemon gives it work for long after the answer.
   *
   * @throws ServingException if an engine lacks the weights that it announced before, or a target
   *     that leaves is not known to be leaving in time
   */
  public void announce(Announcement announcement) throws ServingException {
    if (lacksItsWeights(announcement)) {
      throw ServingErrors.invalidField("loaded", "the weights announced before are missing");
    }
    Instant now = clock.instant();
    boolean isNews = registrations.accept(announcement, now);
    FleetSnapshot view = holder.current();
    if (isNews && !view.shows(announcement, now)) {
      membership.changed();
      log.info(
          Event.of("target-announced")
              .with("target", announcement.id())
              .with("incarnation", announcement.incarnation())
              .with("sequence", announcement.sequence())
              .with("address", announcement.address())
              .with("leaving", announcement.leaving())
              .with("coldMillis", announcement.coldMillis()));
    }
    if (announcement.leaving()) {
      awaitLeaving(announcement.id(), announcement.incarnation());
    }
  }

  private boolean lacksItsWeights(Announcement announcement) {
    return announcement.loaded().isEmpty()
        && !announcement.leaving()
        && known(announcement.id())
            .filter(earlier -> earlier.incarnation() == announcement.incarnation())
            .filter(earlier -> !earlier.loaded().isEmpty())
            .isPresent();
  }

  /**
   * Takes a target's word that it is gone.
   *
   * @param incarnation its start, if it told
   * @throws ServingException if that is not known to the fleet in time
   */
  public void leave(String id, Optional<Long> incarnation) throws ServingException {
    Optional<Announcement> known = known(id);
    if (known.isEmpty()
        || incarnation.filter(told -> told != known.get().incarnation()).isPresent()) {
      log.info(Event.of("target-left").with("target", id).with("known", false));
      return;
    }
    Announcement newest = known.get();
    announce(newest.withLeaving(true).withSequence(newest.sequence() + 1));
  }

  private Optional<Announcement> known(String id) {
    Optional<Announcement> heard = registrations.newest(id);
    Optional<Announcement> seen = holder.current().target(id).map(TargetRecord::announcement);
    if (heard.isEmpty() || seen.isEmpty()) {
      return heard.or(() -> seen);
    }
    boolean isSeenNewer =
        seen.get().incarnation() > heard.get().incarnation()
            || seen.get().sequence() > heard.get().sequence();
    return isSeenNewer ? seen : heard;
  }

  private void awaitLeaving(String id, long incarnation) throws ServingException {
    Instant deadline = clock.instant().plus(LEAVE_TIMEOUT);
    while (!isLeaving(id, incarnation)) {
      if (!clock.instant().isBefore(deadline)) {
        throw ServingErrors.controlUnavailable(
            "the fleet does not know yet that " + id + " leaves");
      }
      try {
        TimeUnit.MILLISECONDS.sleep(LEAVE_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw ServingErrors.controlUnavailable("the wait was interrupted");
      }
    }
  }

  private boolean isLeaving(String id, long incarnation) {
    Optional<TargetRecord> record = holder.current().target(id);
    return record.isPresent()
        && (record.get().announcement().incarnation() > incarnation
            || record.get().announcement().leaving()
            || record.get().lapsed());
  }
}
