package org.geraniumwharf.control;

import java.security.SecureRandom;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.geraniumwharf.internal.raft.MembershipPolicy;
import org.geraniumwharf.internal.raft.RaftCore;
import org.geraniumwharf.internal.raft.RaftInitialState;
import org.geraniumwharf.internal.raft.RaftSnapshot;
import org.geraniumwharf.internal.raft.RaftTiming;
import org.geraniumwharf.internal.replica.ReplicaRunner;
import org.geraniumwharf.internal.storage.DataFolder;
import org.geraniumwharf.internal.storage.FileReplicaStorage;
import org.geraniumwharf.internal.storage.RecoveredState;
import org.geraniumwharf.internal.storage.StorageException;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.state.Membership;

/**
 * Opens and starts control instances.
 *
 * <pre>{@code
 * try (OpenedControl opened = ControlInstances.open(options, log)) {
 *   ControlInstance instance = opened.start(sender, clock, isReplacingLostDisk);
 * }
 * }</pre>
 */
public final class ControlInstances {

  private static final String GROUP_NAME = "main";

  private ControlInstances() {}

  /**
   * Opens the data folder and reads its log and snapshot.
   *
   * @throws ControlException if the folder is in use, damaged or unreadable
   */
  public static OpenedControl open(ControlOptions options, EventLog log) throws ControlException {
    try {
      DataFolder folder = DataFolder.open(options.dataFolder());
      FileReplicaStorage.OpenResult opened = FileReplicaStorage.open(folder);
      RecoveredState recovered = opened.recovered();
      log.info(
          Event.of("storage-opened")
              .with("folder", options.dataFolder())
              .with("new", recovered.isNew())
              .with("entries", recovered.entries().size())
              .with("cutBytes", recovered.cutBytes()));
      return new OpenedControl(options, log, folder, opened);
    } catch (StorageException e) {
      throw new ControlException(e.getMessage(), e);
    }
  }

  /** A data folder that has been read and is locked by this process until closed. */
  public static final class OpenedControl implements AutoCloseable {

    private final ControlOptions options;
    private final EventLog log;
    private final DataFolder folder;
    private final FileReplicaStorage.OpenResult opened;

    private OpenedControl(
        ControlOptions options,
        EventLog log,
        DataFolder folder,
        FileReplicaStorage.OpenResult opened) {
      this.options = options;
      this.log = log;
      this.folder = folder;
      this.opened = opened;
    }

    /** Returns whether the folder held no state, as on the first start or after a lost disk. */
    public boolean isNew() {
      return opened.recovered().isNew();
    }

    /** Returns the same folder for an instance that joins a group of unknown members. */
    public OpenedControl withoutInstances() {
      return new OpenedControl(options.withInstances(List.of()), log, folder, opened);
    }

    /**
     * Starts the replica on its own thread.
     *
     * @param isReplacingLostDisk whether the group already exists, so that this replica must not
     *     vote before it has caught up
     * @throws ControlException if the loss of the disk cannot be recorded in the folder
     */
    public ControlInstance start(
        RaftSender sender, InstantSource clock, boolean isReplacingLostDisk)
        throws ControlException {
      try {
        return ReplicaRunner.start(
            options, core(clock, isReplacingLostDisk), opened.storage(), sender, log, clock);
      } catch (StorageException e) {
        throw new ControlException(e.getMessage(), e);
      }
    }

    private RaftCore core(InstantSource clock, boolean isReplacingLostDisk)
        throws StorageException {
      RecoveredState recovered = opened.recovered();
      var hardState = recovered.hardState();
      if (isReplacingLostDisk) {
        hardState = hardState.withRecovering(true);
        opened.storage().append(Optional.of(hardState), List.of());
      }
      var snapshot = recovered.snapshot();
      RaftInitialState start =
          new RaftInitialState(
              GROUP_NAME,
              options.name(),
              RaftTiming.of(options.heartbeatInterval(), options.electionTimeout()),
              hardState,
              snapshot.map(RaftSnapshot::index).orElse(0L),
              snapshot.map(RaftSnapshot::term).orElse(0L),
              snapshot
                  .map(RaftSnapshot::membership)
                  .orElse(Membership.of(options.instances(), List.of())),
              recovered.entries(),
              opened.storage(),
              new SplittableRandom(new SecureRandom().nextLong()),
              options.toleratedLosses() > ControlOptions.MEMBERS_BY_OPERATORS
                  ? MembershipPolicy.toleratingLosses(options.toleratedLosses())
                  : MembershipPolicy.manual());
      return RaftCore.create(start, clock.instant());
    }

    @Override
    public void close() throws ControlException {
      try {
        opened.storage().close();
        folder.close();
      } catch (StorageException e) {
        throw new ControlException(e.getMessage(), e);
      }
    }
  }
}
