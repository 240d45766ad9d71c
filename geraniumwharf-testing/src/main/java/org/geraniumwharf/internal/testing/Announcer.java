package org.geraniumwharf.internal.testing;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.AnnouncementAnswer;
import org.geraniumwharf.schema.targets.WeightOrder;

/**
 * Announces a target every second, or as the daemons ask, and at once after a change, at the first
 * daemon that answers.
 */
final class Announcer implements Runnable {

  private static final long FIRST_INTERVAL_MILLIS = 1000;

  private final List<String> daemons;
  private final String key;
  private final Supplier<Announcement> announcement;
  private final OkHttpClient http =
      new OkHttpClient.Builder().callTimeout(Duration.ofMillis(800)).build();
  private final AtomicLong sequence = new AtomicLong();
  private final Semaphore changes = new Semaphore(0);
  private final Consumer<WeightOrder> orders;
  private long intervalMillis = FIRST_INTERVAL_MILLIS;
  private int nextDaemon;

  Announcer(
      List<String> daemons,
      String key,
      Supplier<Announcement> announcement,
      Consumer<WeightOrder> orders) {
    this.daemons = daemons;
    this.key = key;
    this.announcement = announcement;
    this.orders = orders;
    this.nextDaemon = Math.floorMod(announcement.get().id().hashCode(), daemons.size());
  }

  void start() {
    Thread thread = new Thread(this, "announcer");
    thread.setDaemon(true);
    thread.start();
  }

  void changed() {
    changes.release();
  }

  @Override
  public void run() {
    try {
      while (true) {
        announce();
        if (changes.tryAcquire(interval(), TimeUnit.MILLISECONDS)) {
          changes.drainPermits();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized long interval() {
    return intervalMillis;
  }

  /** Tells the newest state to one daemon, trying each once. */
  synchronized void announce() {
    byte[] body = Codec.json().encode(announcement.get().withSequence(sequence.incrementAndGet()));
    for (int i = 0; i < daemons.size(); i++) {
      if (post(daemons.get(nextDaemon), body)) {
        return;
      }
      nextDaemon = (nextDaemon + 1) % daemons.size();
    }
  }

  private boolean post(String daemon, byte[] body) {
    Request request =
        new Request.Builder()
            .url(daemon + "/v1/targets/announce")
            .header("Authorization", "Bearer " + key)
            .post(RequestBody.create(body, MediaType.get("application/json")))
            .build();
    try (Response response = http.newCall(request).execute()) {
      if (response.isSuccessful()) {
        AnnouncementAnswer answer =
            Codec.json().decode(response.body().bytes(), AnnouncementAnswer.class);
        intervalMillis = answer.heartbeatMillis();
        answer.order().ifPresent(orders);
      }
      return response.isSuccessful();
    } catch (IOException e) {
      return false;
    }
  }
}
