package org.geraniumwharf.internal.fleet;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.geraniumwharf.control.ControlInstance;
import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.transport.PeerLinks;
import org.geraniumwharf.schema.messages.CallFailed;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.NotLeader;
import org.geraniumwharf.schema.messages.PeerMessage;

/**
 * Calls the leader, wherever it is, until it answers or the deadline passes. Every call of the
 * protocol may be repeated, so a lost answer is asked for again.
 */
public final class ControlClient {

  private static final Duration ATTEMPT = Duration.ofSeconds(1);
  private static final Duration PAUSE = Duration.ofMillis(30);

  private final String self;
  private final ControlDirectory directory;
  private final PeerLinks links;
  private final InstantSource clock;
  private volatile Optional<ControlInstance> local = Optional.empty();
  private volatile String leader;

  private ControlClient(
      String self, ControlDirectory directory, PeerLinks links, InstantSource clock) {
    this.self = self;
    this.directory = directory;
    this.links = links;
    this.clock = clock;
    this.leader = directory.names().get(0);
  }

  public static ControlClient create(
      String self, ControlDirectory directory, PeerLinks links, InstantSource clock) {
    return new ControlClient(self, directory, links, clock);
  }

  public void local(ControlInstance instance) {
    local = Optional.of(instance);
  }

  /**
   * Calls the leader and blocks until it answers.
   *
   * @throws ServingException if there is no answer by the deadline, or the thread is interrupted;
   *     whether the call was carried out is then not known
   */
  public <T extends ControlAnswer> T call(PeerMessage call, Class<T> type, Instant deadline)
      throws ServingException {
    return call(() -> call, type, deadline);
  }

  /**
   * Calls the leader and blocks until it answers.
   *
   * @param call creates the call of each attempt
   * @throws ServingException if there is no answer by the deadline, or the thread is interrupted;
   *     whether the call was carried out is then not known
   */
  public <T extends ControlAnswer> T call(
      Supplier<? extends PeerMessage> call, Class<T> type, Instant deadline)
      throws ServingException {
    String lastCause = "no control instance answered";
    while (clock.instant().isBefore(deadline)) {
      String asked = leader;
      try {
        ControlAnswer answer = attempt(asked, call.get(), deadline);
        if (type.isInstance(answer)) {
          return type.cast(answer);
        }
        lastCause = handleRefusal(asked, answer);
      } catch (ExecutionException | TimeoutException e) {
        lastCause = "control instance " + asked + " did not answer";
        leader = after(asked);
      } catch (InterruptedException e) {
        throw interrupted();
      }
      pause();
    }
    throw ServingErrors.controlOutcomeUnknown(lastCause);
  }

  private static void pause() throws ServingException {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE.toMillis());
    } catch (InterruptedException e) {
      throw interrupted();
    }
  }

  private static ServingException interrupted() {
    Thread.currentThread().interrupt();
    return ServingErrors.controlOutcomeUnknown("the call was interrupted");
  }

  private ControlAnswer attempt(String name, PeerMessage call, Instant deadline)
      throws ExecutionException, TimeoutException, InterruptedException {
    Duration left = Duration.between(clock.instant(), deadline);
    Duration timeout = left.compareTo(ATTEMPT) < 0 ? left : ATTEMPT;
    CompletableFuture<ControlAnswer> answer =
        name.equals(self) && local.isPresent()
            ? local.get().call(call)
            : links.call(name, call, timeout);
    return answer.get(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
  }

  private String handleRefusal(String asked, ControlAnswer answer) throws ServingException {
    if (answer instanceof NotLeader notLeader) {
      leader = notLeader.leader().orElse(after(asked));
      return "no leader is known";
    }
    if (answer instanceof CallFailed failed) {
      ErrorKind kind = ErrorKind.ofWireName(failed.kind());
      if (kind == ErrorKind.STORAGE_FULL) {
        throw ServingErrors.storageFull(failed.message());
      }
      return failed.message();
    }
    return "unexpected answer of " + asked;
  }

  private String after(String name) {
    List<String> names = directory.names();
    return names.get((names.indexOf(name) + 1) % names.size());
  }
}
