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

  private static void assertBetter(double ratio, double before, double after, String figures) {
    assertTrue(after >= ratio * before, figures);
  }

  private static String figures(Tally before, Tally after) {
    return String.format("before: %s; after: %s", before, after);
  }

  private static void print(String pattern, Tally before, Tally after) {
    if (Boolean.getBoolean("replay.print")) {
      System.out.println(pattern + "; " + figures(before, after));
    }
  }

  /** Guards against an overload in which requests are served that are late already. */
  @Test
  void should_serve_more_in_their_goal_under_overload() {
    List<Stream> streams = organisations(peak(1.5, 2000, 8000));
    QueueReplay before = before(streams, 12, 0);
    QueueReplay after = after(streams, 12, 0);
    print("overload", before.all(), after.all());

    String all = figures(before.all(), after.all());
    assertBetter(1.1, before.all().inGoalShare(), after.all().inGoalShare(), all);
    assertBetter(1.05, before.all().servedShare(), after.all().servedShare(), all);
    for (String kind : KINDS) {
      Tally ofKind = after.result(streams, kind(kind));
      print("overload, " + kind, before.result(streams, kind(kind)), ofKind);
      print("overload, largest tenth of " + kind, before.large(kind), after.large(kind));
      assertTrue(ofKind.servedShare() > 0.5 * after.all().servedShare(), kind + ": " + ofKind);
      Tally large = after.large(kind);
      assertTrue(large.servedShare() > 0.6 * ofKind.servedShare(), kind + ": " + large);
    }
    for (int i = 0; i < 24; i++) {
      Tally ofOne = after.result(streams, organisation("org-" + i));
      assertTrue(ofOne.servedShare() > 0.5 * after.all().servedShare(), i + ": " + ofOne);
    }
  }

  /** Guards against a peak of urgent requests that shuts a less urgent kind out. */
  @Test
  void should_not_starve_a_less_urgent_kind() {
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      double questions = 1.6 * 4 * 1000 / 110.0 / 4;
      streams.add(stream("question", "org-" + i, Caller.RETRIES_ONCE, peak(questions, 1000, 9000)));
      streams.add(stream("tag", "org-" + i, Caller.RETRIES_ONCE, millis -> 0.4));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Tally tagsBefore = before.result(streams, kind("tag"));
    Tally tags = after.result(streams, kind("tag"));
    Tally questions = after.result(streams, kind("question"));
    print("urgent peak, tag", tagsBefore, tags);
    print("urgent peak, question", before.result(streams, kind("question")), questions);

    assertBetter(1.5, tagsBefore.servedShare(), tags.servedShare(), figures(tagsBefore, tags));
    assertTrue(tags.servedShare() > 0.4 * after.all().servedShare(), tags.toString());
    assertTrue(questions.servedShare() > tags.servedShare() - 0.05, questions + " " + tags);
  }

  /** Guards against one organisation that pushes the others out by the number of its requests. */
  @Test
  void should_serve_the_others_while_one_organisation_floods() {
    List<Stream> streams = organisations(millis -> 0.7);
    streams.removeIf(organisation("org-0"));
    for (String kind : KINDS) {
      double usual = 0.7 * 0.2 * CAPACITY * part(kind);
      streams.add(
          stream(
              kind,
              "org-0",
              Caller.RETRIES_ONCE,
              millis -> millis >= 2000 && millis < 8000 ? 10 * usual : usual));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = organisation("org-0").negate();
    Tally othersBefore = before.result(streams, others);
    Tally othersAfter = after.result(streams, others);
    print("flood, others", othersBefore, othersAfter);
    Tally floods = after.result(streams, organisation("org-0"));
    print("flood, org-0", before.result(streams, organisation("org-0")), floods);

    String figures = figures(othersBefore, othersAfter);
    assertBetter(1.25, othersBefore.inGoalShare(), othersAfter.inGoalShare(), figures);
    assertTrue(othersAfter.servedShare() > 0.9, figures);
    assertTrue(floods.servedShare() > 0.25 * after.all().servedShare(), floods.toString());
  }

  /** Guards against callers that gain by repeating refused requests at once. */
  @Test
  void should_serve_the_others_while_one_organisation_retries_at_once() {
    List<Stream> streams = organisations(millis -> 0.9);
    streams.removeIf(organisation("org-0"));
    for (String kind : KINDS) {
      double rate = 0.5 * CAPACITY * part(kind);
      streams.add(stream(kind, "org-0", Caller.RETRIES_AT_ONCE, millis -> rate));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = organisation("org-0").negate();
    Tally othersBefore = before.result(streams, others);
    Tally othersAfter = after.result(streams, others);
    print("retries at once, others", othersBefore, othersAfter);
    Tally retriesBefore = before.result(streams, organisation("org-0"));
    Tally retries = after.result(streams, organisation("org-0"));
    print("retries at once, org-0", retriesBefore, retries);

    String figures = figures(othersBefore, othersAfter);
    assertBetter(1.1, othersBefore.inGoalShare(), othersAfter.inGoalShare(), figures);
    assertTrue(othersAfter.inGoalShare() > retries.inGoalShare(), figures + " " + retries);
    assertTrue(retries.attempts < 0.8 * retriesBefore.attempts, retries.toString());
  }

  /** Guards against capacity and shares that are kept for callers that have left. */
  @Test
  void should_serve_the_others_while_many_callers_leave() {
    List<Stream> streams = organisations(millis -> 0.9);
    for (String kind : KINDS) {
      double rate = 0.6 * CAPACITY * part(kind);
      streams.add(stream(kind, "leaver", Caller.LEAVES_EARLY, millis -> rate));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = organisation("leaver").negate();
    Tally othersBefore = before.result(streams, others);
    Tally othersAfter = after.result(streams, others);
    print("callers leave, others", othersBefore, othersAfter);

    String figures = figures(othersBefore, othersAfter);
    assertBetter(1.03, othersBefore.inGoalShare(), othersAfter.inGoalShare(), figures);
    assertTrue(othersAfter.lateRefusals < othersBefore.lateRefusals, figures);
  }

  /** Guards against requests with one key that push the others out, whoever sends them. */
  @Test
  void should_serve_the_others_while_many_callers_use_one_key() {
    List<Stream> streams = organisations(millis -> 0.7);
    for (int i = 3; i < 24; i++) {
      streams.add(
          new Stream(
              "hot-question",
              "org-" + i,
              "hot",
              0,
              1000,
              400,
              12_000,
              Caller.RETRIES_ONCE,
              millis -> 1.6));
    }
    QueueReplay before = before(streams, 10, 0);
    QueueReplay after = after(streams, 10, 0);
    Predicate<Stream> others = stream -> stream.key().isEmpty();
    Tally othersBefore = before.result(streams, others);
    Tally othersAfter = after.result(streams, others);
    print("one key, others", othersBefore, othersAfter);
    Predicate<Stream> questions = others.and(kind("question"));
    Tally questionsBefore = before.result(streams, questions);
    Tally questionsAfter = after.result(streams, questions);
    print("one key, questions", questionsBefore, questionsAfter);
    print(
        "one key, its requests",
        before.result(streams, others.negate()),
        after.result(streams, others.negate()));

    String figures = figures(othersBefore, othersAfter);
    assertBetter(
        3,
        questionsBefore.inGoalShare(),
        questionsAfter.inGoalShare(),
        figures(questionsBefore, questionsAfter));
    assertBetter(2, othersBefore.inGoalShare(), othersAfter.inGoalShare(), figures);
    assertBetter(1.2, othersBefore.servedShare(), othersAfter.servedShare(), figures);
  }

  /** Guards against a backlog that is worked off in its order and makes each fresh request late. */
  @Test
  void should_serve_fresh_requests_beside_the_backlog_of_an_outage() {
    List<Stream> streams = organisations(millis -> millis < 4000 ? 1 : 0.8);
    QueueReplay before = before(streams, 10, 4000);
    QueueReplay after = after(streams, 10, 4000);
    print("outage", before.all(), after.all());
    for (String kind : KINDS) {
      Tally ofKind = after.result(streams, kind(kind));
      print("outage, " + kind, before.result(streams, kind(kind)), ofKind);
      assertTrue(ofKind.servedShare() > 0.5 * after.all().servedShare(), kind + ": " + ofKind);
    }

    String figures = figures(before.all(), after.all());
    assertBetter(1.15, before.all().inGoalShare(), after.all().inGoalShare(), figures);
    assertBetter(1.1, before.all().servedShare(), after.all().servedShare(), figures);
    assertTrue(after.all().lateRefusals < before.all().lateRefusals, figures);
  }
}
