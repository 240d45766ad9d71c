package org.geraniumwharf.relay;

import java.time.Instant;
import java.util.Optional;

/**
 * Why a target currently gets no request.
 *
 * @param until time at which the exclusion is expected to end; empty if never or unknown
 */
public record Exclusion(Reason reason, Optional<Instant> until) {

  /** Reasons for which a target may be excluded. */
  public enum Reason {
    /** The request was already sent to the target. */
    TRIED(Effect.LASTING, false),
    /** The target announced that it is about to stop. */
    LEAVING(Effect.LASTING, false),
    /** The target asked for a pause. */
    PAUSED(Effect.TIMED, false),
    /** The target had a pause a short time ago and gets one request at a time. */
    RETURNING(Effect.LOAD, false),
    /** The target has just started and accepts only few requests. */
    COLD(Effect.TIMED, false),
    /** The data centre of the target is being evacuated. */
    DATA_CENTRE_EVACUATED(Effect.LASTING, false),
    /** The request must not be served in the region of the target. */
    REGION_NOT_ALLOWED(Effect.LASTING, false),
    /** The target failed or rejected requests a short time ago. */
    EJECTED(Effect.LOAD, true),
    /** The slots of the target are occupied. */
    SLOTS_OCCUPIED(Effect.LOAD, true),
    /** The memory of the target has no room for the request. */
    MEMORY_OCCUPIED(Effect.LOAD, true),
    /** The weights of the target were replaced too long ago. */
    WEIGHTS_OVERDUE(Effect.LASTING, true),
    /** The weights of the target would be overdue when the request begins. */
    BEGINS_TOO_LATE(Effect.LOAD, true),
    /** The target has a limit, and this instance has no permit left. */
    NO_PERMIT(Effect.TIMED, true);

    private final Effect effect;
    private final boolean isAvailable;

    Reason(Effect effect, boolean isAvailable) {
      this.effect = effect;
      this.isAvailable = isAvailable;
    }

    Effect effect() {
      return effect;
    }

    /**
     * Returns whether the target still counts as available. While an available target is healthy,
     * ejected ones are not probed.
     */
    boolean isAvailable() {
      return isAvailable;
    }
  }

  /** How long a request can expect an exclusion to last. */
  enum Effect {
    /** Longer than any request waits. */
    LASTING,
    /** Until the stated time; a request that cannot wait so long is refused at once. */
    TIMED,
    /** Until the load changes, which may happen at any time. */
    LOAD
  }

  static Optional<Exclusion> lasting(Reason reason) {
    return Optional.of(new Exclusion(reason, Optional.empty()));
  }

  static Optional<Exclusion> until(Reason reason, Instant end) {
    return Optional.of(new Exclusion(reason, Optional.of(end)));
  }

  boolean isLasting() {
    return reason.effect() == Effect.LASTING;
  }
}
