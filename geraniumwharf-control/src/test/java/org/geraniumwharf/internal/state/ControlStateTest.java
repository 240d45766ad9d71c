package org.geraniumwharf.internal.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.messages.PublishAnswer;
import org.geraniumwharf.schema.messages.PublishOutcome;
import org.geraniumwharf.schema.objects.Service;
import org.geraniumwharf.schema.state.AnnounceCommand;
import org.geraniumwharf.schema.state.Command;
import org.geraniumwharf.schema.state.LapseTargetCommand;
import org.geraniumwharf.schema.state.Membership;
import org.geraniumwharf.schema.state.PublishCommand;
import org.geraniumwharf.schema.state.StateSnapshot;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;
import org.junit.jupiter.api.Test;

class ControlStateTest {

  private final ControlState state = ControlState.empty();
  private long index;

  @Test
  void should_accept_one_of_two_concurrent_publications_and_name_the_winner() {
    PublishAnswer first = publish("a", "amina", 0, "digest-a");
    PublishAnswer second = publish("b", "baraka", 0, "digest-b");

    assertEquals(PublishOutcome.ACCEPTED, first.outcome());
    assertEquals(PublishOutcome.CONFLICT, second.outcome());
    assertEquals("amina", second.winner().orElseThrow().operator());
  }

  @Test
  void should_give_a_resend_the_first_outcome_even_after_later_versions() {
    publish("a", "amina", 0, "digest-a");
    publish("b", "amina", 1, "digest-b");

    PublishAnswer resend = publish("a", "amina", 0, "digest-a");

    assertEquals(PublishOutcome.REPEATED, resend.outcome());
    assertEquals(1, resend.version());
  }

  @Test
  void should_reject_a_used_publish_id_with_other_content() {
    publish("a", "amina", 0, "digest-a");

    assertEquals(PublishOutcome.CONFLICT, publish("a", "amina", 1, "digest-b").outcome());
  }

  @Test
  void should_ignore_late_and_crossed_announcements() {
    announce(1, 5, false);

    assertFalse(announce(1, 4, true));
    assertFalse(announce(0, 9, true));
    assertTrue(announce(2, 1, false));
  }

  @Test
  void should_keep_a_leaving_target_leaving_until_it_starts_again() {
    announce(1, 1, true);
    announce(1, 2, false);
    boolean isStillLeaving = target().announcement().leaving();
    announce(2, 1, false);

    assertTrue(isStillLeaving);
    assertFalse(target().announcement().leaving());
  }

  @Test
  void should_not_revive_a_lapsed_target_by_what_it_said_before() {
    announce(1, 1, false);
    apply(LapseTargetCommand.of("engine-1", 1, 7));

    assertFalse(announce(1, 6, false));
    assertTrue(target().lapsed());
    assertTrue(announce(1, 8, false));
    assertFalse(target().lapsed());
  }

  @Test
  void should_restore_the_same_state_from_a_snapshot() throws IOException {
    publish("a", "amina", 0, "digest-a");
    announce(1, 1, true);
    byte[] bytes =
        Codec.messagePack().encode(state.snapshot(3, Membership.of(List.of("c-1"), List.of())));
    ControlState restored = ControlState.empty();

    restored.restore(Codec.messagePack().decode(bytes, StateSnapshot.class));

    assertEquals(state.view(), restored.view());
    assertEquals(state.publications(), restored.publications());
  }

  private PublishAnswer publish(String id, String operator, long base, String digest) {
    return (PublishAnswer)
        apply(
                PublishCommand.of(
                    id,
                    operator,
                    base,
                    digest,
                    List.of(Service.of(id, 1)),
                    List.of(),
                    1,
                    Optional.empty(),
                    Optional.empty()))
            .answer()
            .orElseThrow();
  }

  private boolean announce(long incarnation, long sequence, boolean leaving) {
    Announcement announcement =
        Announcement.of(
            "engine-1",
            incarnation,
            sequence,
            "http://127.0.0.1:1",
            "dc-1",
            TargetKind.ENGINE,
            Optional.empty(),
            Optional.empty(),
            List.of(),
            Optional.empty(),
            Optional.empty(),
            leaving,
            Optional.empty(),
            0,
            0);
    return apply(AnnounceCommand.of(announcement)).change().isPresent();
  }

  private TargetRecord target() {
    return state.target("engine-1").orElseThrow();
  }

  private ControlState.ApplyResult apply(Command command) {
    index++;
    return state.apply(index, command);
  }
}
