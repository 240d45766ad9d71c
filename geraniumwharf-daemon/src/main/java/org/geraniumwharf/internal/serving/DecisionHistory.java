package org.geraniumwharf.internal.serving;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumwharf.schema.operators.DecisionRecord;

/** Decisions and outcomes of the most recent requests, for operators. Thread-safe. */
public final class DecisionHistory {

  private static final int MAX_REQUESTS = 4096;

  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private DecisionHistory() {}

  public static DecisionHistory create() {
    return new DecisionHistory();
  }

  synchronized void add(DecisionRecord decision) {
    entries.computeIfAbsent(decision.request(), id -> new Entry()).decisions.add(decision);
  }

  /** Records the outcome of a request. */
  public synchronized void recordOutcome(String request, String outcome) {
    entries.computeIfAbsent(request, id -> new Entry()).outcome = Optional.of(outcome);
  }

  /** Returns the decisions of a request, oldest first. */
  public synchronized List<DecisionRecord> decisions(String request) {
    Entry entry = entries.get(request);
    return entry == null ? List.of() : List.copyOf(entry.decisions);
  }

  public synchronized Optional<String> outcome(String request) {
    Entry entry = entries.get(request);
    return entry == null ? Optional.empty() : entry.outcome;
  }

  private static final class Entry {
    private final List<DecisionRecord> decisions = new ArrayList<>();
    private Optional<String> outcome = Optional.empty();
  }
}
