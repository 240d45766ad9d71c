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
import org.geraniumwharf.schema.state.TargetRecord;

/**
 * Finds out whether a target crashed under a request whose connection failed: shortly after, the
 * address of a crashed target refuses a connection. A lost response, a reset of one connection or a
 * partition is no crash. Confined to the event loop of its connection pool.
 */
final class CrashWatch {

  /** Time for the listener of a process that crashed to be closed after its connections. */
  private static final long PROBE_DELAY_MILLIS = 50;

  /** Events of a stream from which its request is not suspected of a later crash. */
  private static final int UNSUSPICIOUS_EVENTS = 2;

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
   * unless an earlier crash counts against one of its parts; then it waits for the probe.
   *
   * @param mayRetry receives false if the target crashed under a request that was suspected before
   */
  void callFailed(ResolvedRequest request, TargetCall failed, Consumer<Boolean> mayRetry) {
    if (!request.isGeneration() || failed.eventCount() >= UNSUSPICIOUS_EVENTS) {
      mayRetry.accept(true);
      return;
    }
    List<String> parts = partsOf(request);
    long incarnation = incarnationOf(failed.target());
    boolean isSuspected = relay.quarantine().isAnySuspected(parts, relay.now());
    probe(
        ControlDirectory.parseAddress(failed.target().address()),
        isCrashed -> {
          if (isCrashed) {
            recordCrash(request, failed.target(), incarnation, parts);
          }
          if (isSuspected) {
            mayRetry.accept(!isCrashed);
          }
        });
    if (!isSuspected) {
      mayRetry.accept(true);
    }
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

  private long incarnationOf(RelayTarget target) {
    return relay.admission().routing().view().targets().stream()
        .map(TargetRecord::announcement)
        .filter(announcement -> announcement.id().equals(target.id()))
        .findFirst()
        .map(announcement -> announcement.incarnation())
        .orElse(0L);
  }

  private void recordCrash(
      ResolvedRequest request, RelayTarget target, long incarnation, List<String> parts) {
    relay
        .log()
        .warn(
            Event.of("target-crashed")
                .with("target", target.id())
                .with("incarnation", incarnation)
                .with("request", request.request().id())
                .with("parts", parts.subList(0, Math.min(parts.size(), MAX_LOGGED_PARTS)))
                .with("partCount", parts.size()));
    relay.quarantine().recordCrash(target.id(), incarnation, parts, relay.now());
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
            () ->
                pool.probe(
                    address,
                    cause ->
                        probes
                            .remove(address)
                            .forEach(
                                each ->
                                    each.accept(cause.filter(CrashWatch::isRefusal).isPresent()))),
            PROBE_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }
}
