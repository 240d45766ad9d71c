package org.geraniumwharf.testing;

import java.util.Arrays;
import java.util.List;
import org.geraniumwharf.internal.testing.StandInFactory;
import org.geraniumwharf.internal.testing.StandInOptions;

/**
 * Starts one stand-in as this process.
 *
 * <pre>{@code
 * stand-ins engine --id=engine-1 --port=9001 --versions=quotes-v1 --daemons=http://127.0.0.1:8080
 * }</pre>
 */
public final class StandIns {

  private StandIns() {}

  /** Takes the kind (engine, store, weight-store or ledger) and options as {@code --name=value}. */
  public static void main(String[] args) {
    List<String> words = Arrays.asList(args);
    StandInFactory.start(words.get(0), StandInOptions.parse(words.subList(1, words.size())));
  }
}
