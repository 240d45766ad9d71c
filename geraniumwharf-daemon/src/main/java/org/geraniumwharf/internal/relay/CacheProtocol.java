package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.Optional;

/** How a cache store tells which parts of prompts it holds. */
public interface CacheProtocol {

  /** Returns the call that waits for changes after a position. */
  FullHttpRequest changesRequest(String address, long position);

  /** Reads the answer to that call; empty when it cannot be read. */
  Optional<Changes> readChanges(ByteBuf body);

  /**
   * Changes at a store.
   *
   * @param incarnation start of the store; another one holds nothing of before
   * @param next position after the changes
   * @param changes the changes, oldest first
   */
  record Changes(long incarnation, long nextPosition, List<Change> changes) {

    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /**
   * One change.
   *
   * @param isAdded whether the part is whole there now, or else gone
   * @param scope name under which the part is kept
   * @param partId id of the part
   * @param tokens tokens of the part
   */
  record Change(boolean isAdded, String scope, String partId, int tokens) {}
}
