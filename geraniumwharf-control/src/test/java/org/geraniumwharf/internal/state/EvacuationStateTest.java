package org.geraniumwharf.internal.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.EvacuateAnswer;
import org.geraniumwharf.schema.messages.EvacuationOutcome;
import org.geraniumwharf.schema.objects.CacheStore;
import org.geraniumwharf.schema.state.EvacuateCommand;
import org.geraniumwharf.schema.state.Evacuation;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.StateSnapshot;
import org.geraniumwharf.schema.view.ViewChange;
import org.junit.jupiter.api.Test;

/** Guards against orders that are refused although accepted, applied late, or forgotten. */
class EvacuationStateTest {

  private static final String DATA_CENTRE = "dc-1";
  private static final Membership MEMBERS = Membership.of(List.of("c-1"), List.of());

  private ControlState state = ControlState.empty();

  @Test
  void should_accept_a_start_and_an_end_and_tell_the_view_of_both() {
    ControlState.ApplyResult start = apply(true, 0);
    ControlState.ApplyResult end = apply(false, 1);

    assertEquals(EvacuateAnswer.of(EvacuationOutcome.ACCEPTED, 1), answer(start));
    assertEquals(EvacuateAnswer.of(EvacuationOutcome.ACCEPTED, 2), answer(end));
    assertEquals(List.of(Evacuation.of(DATA_CENTRE, true, 1, 0)), told(start));
    assertEquals(List.of(Evacuation.of(DATA_CENTRE, false, 2, 0)), told(end));
  }

  @Test
  void should_accept_a_resend_without_a_change() {
    apply(true, 0);

    ControlState.ApplyResult resend = apply(true, 0);

    assertEquals(EvacuateAnswer.of(EvacuationOutcome.ACCEPTED, 1), answer(resend));
    assertTrue(resend.change().isEmpty());
  }

  @Test
  void should_accept_the_end_of_an_evacuation_that_was_not_started() {
    assertEquals(EvacuationOutcome.ACCEPTED, answer(apply(false, 0)).outcome());
    assertFalse(isEvacuated(state));
  }

  /** A copy of the start is held up on its way to the leader until the end was acknowledged. */
  @Test
  void should_not_apply_a_late_copy_of_a_start_after_the_end() {
    apply(true, 0);
    apply(false, 1);

    ControlState.ApplyResult late = apply(true, 0);

    assertEquals(EvacuationOutcome.OVERTAKEN, answer(late).outcome());
    assertTrue(late.change().isEmpty());
    assertFalse(isEvacuated(state));
  }

  @Test
  void should_not_apply_a_late_start_after_an_end_that_came_first() {
    apply(false, 0);

    assertEquals(EvacuationOutcome.OVERTAKEN, answer(apply(true, 0)).outcome());
    assertFalse(isEvacuated(state));
  }

  @Test
  void should_not_apply_a_late_copy_of_an_end_after_the_next_start() {
    apply(true, 0);
    apply(false, 1);
    apply(true, 2);

    assertEquals(EvacuationOutcome.OVERTAKEN, answer(apply(false, 1)).outcome());
    assertTrue(isEvacuated(state));
  }

  /** The first answer to the end was lost; its resend must not overtake a start sent after it. */
  @Test
  void should_apply_a_start_that_was_received_before_a_resend_of_the_end_was_applied() {
    apply(true, 0);
    apply(false, 1);
    apply(false, 1);

    assertEquals(EvacuationOutcome.ACCEPTED, answer(apply(true, 2)).outcome());
    assertTrue(isEvacuated(state));
  }

  @Test
  void should_decide_on_late_copies_in_the_same_way_after_a_restart_from_a_snapshot()
      throws IOException {
    apply(true, 0);
    apply(false, 1);
    ControlState before = state;
    state = restored(Codec.messagePack().encode(state.snapshot(1, MEMBERS)));

    assertEquals(before.view(), state.view());
    assertEquals(EvacuationOutcome.OVERTAKEN, answer(apply(true, 0)).outcome());
    assertFalse(isEvacuated(state));
  }

  /** The file was written by the code of 6 December 2026, which knew of no evacuations. */
  @Test
  void should_read_a_snapshot_that_was_written_before_there_were_evacuations() throws IOException {
    state = restored(resource("/snapshots/before-evacuations.msgpack"));

    assertEquals(41, state.index());
    assertEquals("m", state.weights().get(0).model());
    assertEquals(List.of(), state.evacuations());
    assertEquals(EvacuationOutcome.ACCEPTED, answer(apply(true, 41)).outcome());
    assertTrue(isEvacuated(state));
  }

  @Test
  void should_know_the_data_centre_of_a_cache_store_and_of_an_earlier_order() {
    assertFalse(state.isRecordedDataCentre("dc-9"));
    publish(CacheStore.of("store-1", "10.0.0.9:70", "dc-9", 1000, 100, 0, false));
    apply(false, 1);

    assertTrue(state.isRecordedDataCentre("dc-9"));
    assertTrue(state.isRecordedDataCentre(DATA_CENTRE));
    assertFalse(state.isRecordedDataCentre("dc-8"));
  }

  private ControlState.ApplyResult apply(boolean active, long receivedIndex) {
    return state.apply(
        state.index() + 1, EvacuateCommand.of(DATA_CENTRE, active, receivedIndex, 0));
  }

  private void publish(CacheStore store) {
    state.apply(
        state.index() + 1,
        PublishCommand.of(
            "p",
            "operator",
            0,
            "digest",
            List.of(store),
            List.of(),
            0,
            Optional.empty(),
            Optional.empty()));
  }

  private static EvacuateAnswer answer(ControlState.ApplyResult result) {
    return (EvacuateAnswer) result.answer().orElseThrow();
  }

  private static List<Evacuation> told(ControlState.ApplyResult result) {
    return result.change().map(ViewChange::evacuations).orElse(List.of());
  }

  private static boolean isEvacuated(ControlState state) {
    return state.view().evacuations().stream().anyMatch(Evacuation::active);
  }

  private static ControlState restored(byte[] snapshot) throws IOException {
    ControlState restored = ControlState.empty();
    restored.restore(Codec.messagePack().decode(snapshot, StateSnapshot.class));
    return restored;
  }

  private static byte[] resource(String name) throws IOException {
    try (InputStream input = EvacuationStateTest.class.getResourceAsStream(name)) {
      return input.readAllBytes();
    }
  }
}
