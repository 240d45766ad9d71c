package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.List;
import java.util.Optional;

/** Encodes polls of a cache store for the prompt parts that it holds, and decodes the responses. */
public interface CacheProtocol {

  /** Returns the long-poll request for changes after a position. */
  FullHttpRequest changesRequest(String address, long position);

  /** Decodes the response to that request; empty if it is malformed. */
  Optional<Changes> readChanges(ByteBuf body);

  /**
   * A batch of changes at a store.
   *
   * @param incarnation number of the store's start; after a restart the store holds no earlier part
   * @param nextPosition position from which the next poll continues
   * @param changes changes, oldest first
   */
  record Changes(long incarnation, long nextPosition, List<Change> changes) {

    public Changes {
      changes = List.copyOf(changes);
    }
  }

  /**
   * A part that a store added or removed.
   *
   * @param isAdded true if the part is completely stored now, false if it was removed
   * @param scope cache scope of the part
   * @param partId id of the part
   * @param tokens length of the part in tokens
   */
  record Change(boolean isAdded, String scope, String partId, int tokens) {}
}
