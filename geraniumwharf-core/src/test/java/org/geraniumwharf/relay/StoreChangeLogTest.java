package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.geraniumwharf.schema.messages.StoreChange;
import org.geraniumwharf.schema.messages.StoreChanges;
import org.geraniumwharf.schema.messages.StorePosition;
import org.junit.jupiter.api.Test;

class StoreChangeLogTest {

  private static final String STORE = "store-1";
  private final StoreChangeLog log = StoreChangeLog.create();

  @Test
  void should_give_a_new_reader_all_parts() {
    log.record(STORE, 1, 3, List.of(added("a"), added("b"), removed("a")));

    StoreChanges read = readFrom(0, 0);

    assertTrue(read.whole());
    assertEquals(3, read.position());
    assertEquals(List.of(added("b")), read.changes());
  }

  @Test
  void should_give_a_reader_the_changes_since_its_position() {
    log.record(STORE, 1, 2, List.of(added("a"), added("b")));
    log.record(STORE, 1, 4, List.of(removed("a"), added("c")));

    StoreChanges read = readFrom(1, 2);

    assertFalse(read.whole());
    assertEquals(List.of(removed("a"), added("c")), read.changes());
  }

  @Test
  void should_give_a_reader_nothing_that_has_followed_a_faster_instance() {
    log.record(STORE, 1, 2, List.of(added("a")));

    StoreChanges read = readFrom(1, 9);

    assertEquals(9, read.position());
    assertFalse(read.whole());
    assertEquals(List.of(), read.changes());
  }

  @Test
  void should_give_all_parts_after_the_store_started_anew() {
    log.record(STORE, 1, 2, List.of(added("a")));
    log.record(STORE, 2, 0, List.of());

    StoreChanges read = readFrom(1, 2);

    assertTrue(read.whole());
    assertEquals(List.of(), read.changes());
  }

  @Test
  void should_leave_out_a_store_that_does_not_answer() {
    log.record(STORE, 1, 2, List.of(added("a")));
    log.recordUnavailable(STORE);
    List<StoreChanges> whileSilent = log.changesSince(List.of());
    log.record(STORE, 1, 2, List.of());

    assertEquals(List.of(), whileSilent);
    assertEquals(1, log.changesSince(List.of()).size());
  }

  /** A reader that misses answers, and one that changes to another follower, end up alike. */
  @Property(tries = 200)
  void should_bring_every_reader_to_the_contents_of_the_store(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    StoreChangeLog other = StoreChangeLog.create();
    List<StoreChange> all = new ArrayList<>();
    Reader reader = new Reader();
    int fed = 0;
    int fedToOther = 0;
    for (int round = 0; round < 60; round++) {
      addRandomChanges(random, all, 400);
      fed = feed(random, log, all, fed);
      fedToOther = feed(random, other, all, fedToOther);
      if (random.nextInt(3) > 0) {
        reader.read(random.nextBoolean() ? log : other);
      }
    }
    feedAll(log, all, fed);
    reader.read(log);

    assertEquals(contents(all), reader.parts);
  }

  private static void addRandomChanges(SplittableRandom random, List<StoreChange> all, int most) {
    int count = random.nextInt(most);
    for (int i = 0; i < count; i++) {
      String part = "p" + random.nextInt(50);
      all.add(random.nextInt(4) == 0 ? removed(part) : added(part));
    }
  }

  private static int feed(
      SplittableRandom random, StoreChangeLog target, List<StoreChange> all, int from) {
    int to = from + random.nextInt(all.size() - from + 1);
    target.record(STORE, 1, to, all.subList(from, to));
    return to;
  }

  private static void feedAll(StoreChangeLog target, List<StoreChange> all, int from) {
    target.record(STORE, 1, all.size(), all.subList(from, all.size()));
  }

  private static Map<String, Integer> contents(List<StoreChange> changes) {
    Reader reader = new Reader();
    changes.forEach(reader::apply);
    return reader.parts;
  }

  private StoreChanges readFrom(long incarnation, long position) {
    return log.changesSince(List.of(StorePosition.of(STORE, incarnation, position))).get(0);
  }

  private static StoreChange added(String part) {
    return StoreChange.of("v1", part, 100);
  }

  private static StoreChange removed(String part) {
    return StoreChange.of("v1", part, StoreChangeLog.REMOVED);
  }

  private static final class Reader {

    private final Map<String, Integer> parts = new HashMap<>();
    private StorePosition position = StorePosition.of(STORE, 0, 0);

    void read(StoreChangeLog source) {
      StoreChanges read = source.changesSince(List.of(position)).get(0);
      if (read.whole()) {
        parts.clear();
      }
      read.changes().forEach(this::apply);
      position = StorePosition.of(STORE, read.incarnation(), read.position());
    }

    private void apply(StoreChange change) {
      if (change.tokens() == StoreChangeLog.REMOVED) {
        parts.remove(change.part());
      } else {
        parts.put(change.part(), change.tokens());
      }
    }
  }
}
