package org.geraniumwharf.internal.relay;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.quarantine.PartId;
import org.geraniumwharf.relay.PromptPart;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.ResolvedRequest;

/**
 * Finds out whether a target crashed under a request whose connection ended, at any point of its
 * answer: shortly after, the address of a crashed target refuses a connection. A lost response, a
 * reset of one connection or a partition is no crash. Confined to the event loop of its connection
 * pool.
 */
final class CrashWatch {

  /** Time for the listener of a process that crashed to be closed after its connections. */
  private static final long PROBE_DELAY_MILLIS = 50;

  /**
   * Events of a stream from which one earlier crash does not keep its request from being resumed.
   */
  private static final int PROGRESSED_EVENTS = 2;

  /** Crashes at this instance that do, however many events have arrived. */
  private static final int MAX_CRASHES_OF_PROGRESSED = 2;

  private static final int MAX_LOGGED_PARTS = 32;

  private final RelayState relay;
  private final EventLoop loop;
  private final TargetConnectionPool pool;
  private final Map<InetSocketAddress, List<Consumer<Boolean>>> probes = new HashMap<>();

  CrashWatch(RelayState relay, EventLoop loop, TargetConnectionPool pool) {
    this.relay = relay;
    this.loop = loop;
    this.pool = pool;
  }

  /**
   * Probes the target of a call that failed, and continues with the request. It continues at once
   * unless earlier crashes count against one of its parts; then it waits for the probe.
   *
   * @param mayRetry receives false if the target crashed under a request that was suspected before
   */
  void callFailed(ResolvedRequest request, TargetCall failed, Consumer<Boolean> mayRetry) {
    List<String> parts = partsOf(request);
    if (!request.isGeneration() || parts.isEmpty()) {
      mayRetry.accept(true);
      return;
    }
    boolean isSuspected = isSuspected(parts, failed.eventCount() >= PROGRESSED_EVENTS);
    probe(
        addressOf(failed),
        isCrashed -> {
          if (isCrashed) {
            recordCrash(request, failed.target(), parts);
          }
          if (isSuspected) {
            mayRetry.accept(!isCrashed);
          }
        });
    if (!isSuspected) {
      mayRetry.accept(true);
    }
  }

  private boolean isSuspected(List<String> parts, boolean isProgressed) {
    int crashes = isProgressed ? MAX_CRASHES_OF_PROGRESSED : 1;
    return relay.quarantine().isAnySuspected(parts, crashes, relay.now());
  }

  /**
   * Records what a complete answer tells of the prompt, once it is known that its target has not
   * ended with it. A target that ends at the end of its answer, or whose answer ends with its
   * connection, may have crashed.
   *
   * @param isProof whether the target wrote all of a successful answer
   */
  void answered(ResolvedRequest request, TargetCall ended, boolean isProof) {
    List<String> parts = partsOf(request);
    if (request.isGeneration() && !parts.isEmpty()) {
      settleLater(request, ended, parts, isProof, isCrashed -> {});
    }
  }

  /**
   * Finds out whether a target crashed at the end of a complete answer that is a failure, and
   * continues with the request in the same way as after a call that failed.
   */
  void answeredWithFailure(ResolvedRequest request, TargetCall ended, Consumer<Boolean> mayRetry) {
    List<String> parts = partsOf(request);
    if (!request.isGeneration() || parts.isEmpty()) {
      mayRetry.accept(true);
      return;
    }
    boolean isSuspected = isSuspected(parts, false);
    settleLater(
        request,
        ended,
        parts,
        false,
        isCrashed -> {
          if (isSuspected) {
            mayRetry.accept(!isCrashed);
          }
        });
    if (!isSuspected) {
      mayRetry.accept(true);
    }
  }

  private void settleLater(
      ResolvedRequest request,
      TargetCall ended,
      List<String> parts,
      boolean isProof,
      Consumer<Boolean> isCrashed) {
    var unused =
        loop.schedule(
            () -> settle(request, ended, parts, isProof, isCrashed),
            PROBE_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * A connection that was closed tells nothing if its end was announced, so the target is asked.
   */
  private void settle(
      ResolvedRequest request,
      TargetCall ended,
      List<String> parts,
      boolean isProof,
      Consumer<Boolean> isCrashed) {
    if (ended.isConnectionOpen()) {
      recordAnswered(parts, isProof);
      isCrashed.accept(false);
    } else if (relay.quarantine().isProven(parts, relay.now())) {
      isCrashed.accept(false);
    } else {
      probeNow(
          addressOf(ended),
          isRefused -> {
            if (isRefused) {
              recordCrash(request, ended.target(), parts);
            } else {
              recordAnswered(parts, isProof);
            }
            isCrashed.accept(isRefused);
          });
    }
  }

  private void recordAnswered(List<String> parts, boolean isProof) {
    if (isProof) {
      relay.quarantine().recordSound(parts, relay.now());
    }
  }

  private static InetSocketAddress addressOf(TargetCall call) {
    return ControlDirectory.parseAddress(call.target().address());
  }

  /** Returns the ids of the parts that may be quarantined. */
  static List<String> partsOf(ResolvedRequest request) {
    return request.request().prompt().size() < 2
        ? List.of()
        : request.sharedParts().stream().map(PromptPart::id).map(PartId::of).toList();
  }

  /** Returns whether nothing listens at an address, as opposed to no response from its host. */
  static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void recordCrash(ResolvedRequest request, RelayTarget target, List<String> parts) {
    relay
        .log()
        .warn(
            Event.of("target-crashed")
                .with("target", target.id())
                .with("incarnation", target.incarnation())
                .with("request", request.request().id())
                .with("parts", parts.subList(0, Math.min(parts.size(), MAX_LOGGED_PARTS)))
                .with("partCount", parts.size()));
    relay.quarantine().recordCrash(target.id(), target.incarnation(), parts, relay.now());
  }

  /** Connects once for all calls to an address that fail before the connection is tried. */
  private void probe(InetSocketAddress address, Consumer<Boolean> isRefused) {
    List<Consumer<Boolean>> waiting = probes.get(address);
    if (waiting != null) {
      waiting.add(isRefused);
      return;
    }
    probes.put(address, new ArrayList<>(List.of(isRefused)));
    var unused =
        loop.schedule(
            () -> probeNow(address, refused -> tell(probes.remove(address), refused)),
            PROBE_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private static void tell(List<Consumer<Boolean>> waiting, boolean isRefused) {
    waiting.forEach(each -> each.accept(isRefused));
  }

  private void probeNow(InetSocketAddress address, Consumer<Boolean> isRefused) {
    pool.probe(address, cause -> isRefused.accept(cause.filter(CrashWatch::isRefusal).isPresent()));
  }
}
