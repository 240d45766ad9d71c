package org.geraniumwharf.relay;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import org.geraniumwharf.relay.QueueReplay.Caller;
import org.geraniumwharf.relay.QueueReplay.Stream;
import org.geraniumwharf.relay.QueueReplay.Tally;
import org.junit.jupiter.api.Test;

/** Replays load patterns against the order by arrival and the fair one. */
class FairQueueReplayTest {

  private static final int SLOTS = 4;

  /** Time of a slot for a token, ms; the four slots complete about 40 tokens per ms. */
  private static final double MILLIS_PER_TOKEN = 0.1;

  private static final int SEEDS = 12;

  /** Requests per second of all kinds together that occupy the slots completely. */
  private static final double CAPACITY = 14;

  private static Stream stream(
      String kind, String organisation, Caller caller, DoubleUnaryOperator perSecond) {
    return switch (kind) {
      case "question" ->
          new Stream(kind, organisation, "", 0, 1000, 400, 12_000, caller, perSecond);
      case "tag" -> new Stream(kind, organisation, "", 1, 2400, 600, 3000, caller, perSecond);
      case "ruling" -> new Stream(kind, organisation, "", 1, 8000, 2000, 15_000, caller, perSecond);
      default -> throw new IllegalArgumentException(kind);
    };
  }

  private static final List<String> KINDS = List.of("question", "tag", "ruling");

  /** Half of the requests are questions, a third tags and a sixth rulings. */
  private static double part(String kind) {
    return switch (kind) {
      case "question" -> 0.5;
      case "tag" -> 0.34;
      default -> 0.16;
    };
  }

  /** 24 organisations; each of three large ones has a fifth of the requests. */
  private static List<Stream> organisations(DoubleUnaryOperator relativeLoad) {
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      double share = i < 3 ? 0.2 : 0.4 / 21;
      for (String kind : KINDS) {
        double rate = CAPACITY * share * part(kind);
        streams.add(
            stream(
                kind,
                "org-" + i,
                Caller.RETRIES_ONCE,
                millis -> rate * relativeLoad.applyAsDouble(millis)));
      }
    }
    return streams;
  }

  private static DoubleUnaryOperator peak(double load, int fromMillis, int untilMillis) {
    return millis -> millis >= fromMillis && millis < untilMillis ? load : 0.6;
  }

  private static Predicate<Stream> kind(String kind) {
    return stream -> stream.kind().equals(kind);
  }

  private static Predicate<Stream> organisation(String name) {
    return stream -> stream.organisation().equals(name);
  }

  private static QueueReplay before(List<Stream> streams, int seconds, int outage) {
    return QueueReplay.byArrival(SLOTS, MILLIS_PER_TOKEN).play(streams, seconds, outage, SEEDS);
  }

  private static QueueReplay after(List<Stream> streams, int seconds, int outage) {
    return QueueReplay.fair(SLOTS, MILLIS_PER_TOKEN).play(streams, seconds, outage, SEEDS);
  }

  private static void print(String pattern, String part, Tally before, Tally after) {
    System.out.printf("%s, %s%n  before: %s%n  after:  %s%n", pattern, part, before, after);
  }

  @Test
  void overload() {
    List<Stream> streams = organisations(peak(1.5, 2000, 8000));
    QueueReplay before = before(streams, 12, 0);
    QueueReplay after = after(streams, 12, 0);
    print("overload", "all", before.all(), after.all());
    for (String k : KINDS) {
      print("overload", k, before.result(streams, kind(k)), after.result(streams, kind(k)));
      print("overload", "large " + k, before.large(k), after.large(k));
    }
    for (int i = 0; i < 24; i += 2) {
      print(
          "overload",
          "org" + i,
          before.result(streams, organisation("org-" + i)),
          after.result(streams, organisation("org-" + i)));
    }
    assertTrue(true);
  }

  @Test
  void flood() {
    List<Stream> streams = organisations(millis -> 0.7);
    streams.removeIf(organisation("org-0"));
    for (String k : KINDS) {
      streams.add(
          stream(k, "org-0", Caller.RETRIES_ONCE, peak(10 * 0.2 * CAPACITY * part(k), 2000, 8000)));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = organisation("org-0").negate();
    print("flood", "others", before.result(streams, others), after.result(streams, others));
    for (String k : KINDS) {
      print(
          "flood",
          "others " + k,
          before.result(streams, others.and(kind(k))),
          after.result(streams, others.and(kind(k))));
    }
    print(
        "flood",
        "flooder",
        before.result(streams, organisation("org-0")),
        after.result(streams, organisation("org-0")));
  }

  @Test
  void atOnce() {
    List<Stream> streams = organisations(millis -> 0.9);
    streams.removeIf(organisation("org-0"));
    for (String k : KINDS) {
      streams.add(stream(k, "org-0", Caller.RETRIES_AT_ONCE, millis -> 0.5 * CAPACITY * part(k)));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = organisation("org-0").negate();
    print("atonce", "others", before.result(streams, others), after.result(streams, others));
    print(
        "atonce",
        "org",
        before.result(streams, organisation("org-0")),
        after.result(streams, organisation("org-0")));
  }

  @Test
  void leaving() {
    List<Stream> streams = organisations(millis -> 0.9);
    for (String k : KINDS) {
      streams.add(stream(k, "leaver", Caller.LEAVES_EARLY, millis -> 0.6 * CAPACITY * part(k)));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = organisation("leaver").negate();
    print("leaving", "others", before.result(streams, others), after.result(streams, others));
  }

  @Test
  void hotKey() {
    List<Stream> streams = organisations(millis -> 0.7);
    for (int i = 3; i < 24; i++) {
      streams.add(
          new Stream(
              "question",
              "org-" + i,
              "hot",
              0,
              1000,
              400,
              12_000,
              Caller.RETRIES_ONCE,
              millis -> 1.6));
    }
    // streams of one name are added up together, so the hot ones get organisations of their own
    List<Stream> named = new ArrayList<>();
    for (Stream s : streams) {
      named.add(
          s.key().isEmpty()
              ? s
              : new Stream(
                  "hot-question",
                  s.organisation(),
                  "hot",
                  0,
                  1000,
                  400,
                  12_000,
                  s.caller(),
                  s.perSecond()));
    }
    QueueReplay before = before(named, 10, 0);
    QueueReplay after = after(named, 10, 0);
    Predicate<Stream> others = s -> s.key().isEmpty();
    print("hot", "others", before.result(named, others), after.result(named, others));
    print(
        "hot", "hot", before.result(named, others.negate()), after.result(named, others.negate()));
  }

  @Test
  void outage() {
    List<Stream> streams = organisations(millis -> millis < 4000 ? 1 : 0.8);
    QueueReplay before = before(streams, 10, 4000);
    QueueReplay after = after(streams, 10, 4000);
    print("outage", "all", before.all(), after.all());
    for (String k : KINDS) {
      print("outage", k, before.result(streams, kind(k)), after.result(streams, kind(k)));
    }
    assertTrue(true);
  }
}
