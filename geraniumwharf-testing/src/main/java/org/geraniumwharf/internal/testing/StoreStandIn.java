package org.geraniumwharf.internal.testing;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.geraniumwharf.schema.targets.KeptLookupAnswer;
import org.geraniumwharf.schema.targets.KeptObject;
import org.geraniumwharf.schema.targets.TargetKind;

/**
 * A kept-cache store. It protects nobody: a read of a freed key hands out what its memory holds
 * now, and a read of a key that is not sealed hands out the part that was written.
 */
final class StoreStandIn extends StandIn {

  private static final int FULL = 507;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final byte[] FREED = "memory of somebody else".getBytes(StandardCharsets.UTF_8);

  private final Map<String, StoredObject> objects = new ConcurrentSkipListMap<>();
  private final AtomicLong usedBytes = new AtomicLong();

  StoreStandIn(StandInOptions options) {
    super(options);
  }

  private static final class StoredObject {
    private final byte[] bytes;
    private final long size;
    private volatile Optional<KeptObject> description = Optional.empty();
    private volatile boolean isFreed;
    private int pins;

    StoredObject(byte[] bytes, long size) {
      this.bytes = bytes;
      this.size = size;
    }
  }

  @Override
  TargetKind kind() {
    return TargetKind.STORE;
  }

  @Override
  Announcement describe(Announcement bare) {
    return bare;
  }

  @Override
  void addRoutes(JavalinConfig config) {
    config.routes.put("/objects/{key}", context -> serve(context, this::write));
    config.routes.post("/objects/{key}/seal", context -> serve(context, this::seal));
    config.routes.get("/objects/{key}", context -> serve(context, this::read));
    config.routes.post("/lookup", context -> serve(context, this::lookUp));
    config.routes.post("/objects/{key}/pin", context -> serve(context, this::pin));
    config.routes.delete("/objects/{key}/pin", context -> serve(context, this::unpin));
    config.routes.delete("/objects/{key}", context -> serve(context, this::free));
  }

  private void write(Context context) {
    byte[] bytes = context.bodyAsBytes();
    long size = Long.parseLong(context.header("Object-Bytes"));
    transfer(size);
    makeRoom(size);
    if (usedBytes.get() + size > capacity()) {
      context.status(FULL);
    } else if (objects.putIfAbsent(context.pathParam("key"), new StoredObject(bytes, size))
        != null) {
      context.status(CONFLICT);
    } else {
      usedBytes.addAndGet(size);
    }
  }

  private long capacity() {
    return options().number("capacity-megabytes", 8192) * (1L << 20);
  }

  /** One link: transfers queue behind each other. */
  private synchronized void transfer(long size) {
    Waiting.millis(size / (double) options().number("bytes-per-milli", 1_000_000));
  }

  /** Frees the oldest objects that are sealed and not pinned. */
  private void makeRoom(long size) {
    for (StoredObject object : objects.values()) {
      if (usedBytes.get() + size <= capacity()) {
        return;
      }
      free(object);
    }
  }

  /** Takes the description of the object as its body. */
  private void seal(Context context) {
    find(context)
        .ifPresent(
            object -> {
              object.description = Optional.of(parse(context.bodyAsBytes(), KeptObject.class));
            });
  }

  private void lookUp(Context context) {
    KeptLookup lookup = parse(context.bodyAsBytes(), KeptLookup.class);
    List<KeptObject> found =
        objects.values().stream()
            .filter(object -> !object.isFreed)
            .flatMap(object -> object.description.stream())
            .filter(description -> lookup.anchors().contains(description.anchor()))
            .toList();
    context.contentType("application/json");
    context.result(Codec.json().encode(KeptLookupAnswer.of(found)));
  }

  private static <T> T parse(byte[] body, Class<T> type) {
    try {
      return Codec.json().decode(body, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void read(Context context) {
    Optional<StoredObject> object = find(context);
    if (object.isPresent()) {
      transfer(object.get().size);
      context.result(object.get().isFreed ? FREED : object.get().bytes);
    }
  }

  private void pin(Context context) {
    find(context)
        .ifPresent(
            object -> {
              synchronized (object) {
                context.status(object.description.isPresent() && !object.isFreed ? 200 : CONFLICT);
                object.pins++;
              }
            });
  }

  private void unpin(Context context) {
    find(context)
        .ifPresent(
            object -> {
              synchronized (object) {
                object.pins--;
              }
            });
  }

  private void free(Context context) {
    find(context).ifPresent(object -> context.status(free(object) ? 200 : CONFLICT));
  }

  private boolean free(StoredObject object) {
    synchronized (object) {
      if (object.pins > 0) {
        return false;
      }
      if (!object.isFreed) {
        object.isFreed = true;
        usedBytes.addAndGet(-object.size);
      }
      return true;
    }
  }

  private Optional<StoredObject> find(Context context) {
    StoredObject object = objects.get(context.pathParam("key"));
    if (object == null) {
      context.status(NOT_FOUND);
    }
    return Optional.ofNullable(object);
  }
}
