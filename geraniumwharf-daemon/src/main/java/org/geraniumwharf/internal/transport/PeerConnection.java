package org.geraniumwharf.internal.transport;

import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;
import org.geraniumwharf.schema.messages.ControlAnswer;
import org.geraniumwharf.schema.messages.Frame;
import org.geraniumwharf.schema.messages.PeerMessage;
import org.geraniumwharf.schema.messages.Ping;
import org.geraniumwharf.schema.messages.Pong;

/**
 * An authenticated connection: one thread reads, one writes. Both sides ping while idle and give up
 * on a peer that is silent for longer than {@link #SILENCE_MILLIS}. Queued output is bounded; a
 * peer that does not keep up is disconnected.
 */
final class PeerConnection implements AutoCloseable {

  static final int SILENCE_MILLIS = 3000;

  private static final long PING_MILLIS = 1000;
  private static final long MAX_QUEUED_BYTES = 128L << 20;
  private static final int BUFFER_BYTES = 64 << 10;

  private final Socket socket;
  private final String remote;
  private final DataInputStream input;
  private final DataOutputStream output;
  private final Handler handler;
  private final PeerTraffic traffic;
  private final EventLog log;
  private final BlockingQueue<byte[]> queue = new LinkedBlockingQueue<>();
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicLong nextCorrelation = new AtomicLong();
  private final AtomicBoolean isClosed = new AtomicBoolean();
  private final Map<Long, CompletableFuture<ControlAnswer>> calls = new ConcurrentHashMap<>();

  /** What the owner of a connection does with it. */
  interface Handler {

    /** Takes a message that is no answer. The correlation is 0 when no answer is expected. */
    void received(PeerConnection connection, long correlation, PeerMessage message);

    /** The connection ended. */
    void closed(PeerConnection connection);
  }

  PeerConnection(
      Socket socket,
      String remote,
      DataInputStream input,
      Handler handler,
      PeerTraffic traffic,
      EventLog log)
      throws IOException {
    this.socket = socket;
    this.remote = remote;
    this.input = input;
    this.output =
        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
    this.handler = handler;
    this.traffic = traffic;
    this.log = log;
  }

  void start() {
    DaemonThreads.start(this::readAll, "peer-read-" + remote);
    DaemonThreads.start(this::writeAll, "peer-write-" + remote);
  }

  /** Returns the authenticated name of the other side. */
  String remote() {
    return remote;
  }

  boolean isOpen() {
    return !isClosed.get();
  }

  /** Sends a one-way message without blocking. */
  boolean send(PeerMessage message) {
    return enqueue(Frame.of(0, false, message));
  }

  boolean answer(long correlation, ControlAnswer answer) {
    return enqueue(Frame.of(correlation, true, (PeerMessage) answer));
  }

  /** Calls the other side; the future fails when the connection ends or the time is over. */
  CompletableFuture<ControlAnswer> call(PeerMessage message, Duration timeout) {
    long correlation = nextCorrelation.incrementAndGet();
    CompletableFuture<ControlAnswer> answer = new CompletableFuture<>();
    calls.put(correlation, answer);
    if (!enqueue(Frame.of(correlation, false, message))) {
      answer.completeExceptionally(new IOException("the connection to " + remote + " is closed"));
    }
    return answer
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
        .whenComplete((value, error) -> calls.remove(correlation));
  }

  private boolean enqueue(Frame frame) {
    if (isClosed.get()) {
      return false;
    }
    byte[] body = FrameCodec.encode(frame);
    if (queuedBytes.addAndGet(body.length) > MAX_QUEUED_BYTES) {
      log.warn(Event.of("peer-too-slow").with("peer", remote));
      close();
      return false;
    }
    queue.add(body);
    return true;
  }

  private void readAll() {
    try {
      socket.setSoTimeout(SILENCE_MILLIS);
      while (!isClosed.get()) {
        handle(FrameCodec.read(input, FrameCodec.MAX_FRAME_BYTES));
      }
    } catch (ProtocolException e) {
      log.warn(Event.of("peer-frame-refused").with("peer", remote).with("cause", e.getMessage()));
    } catch (IOException e) {
      if (!isClosed.get()) {
        log.info(Event.of("peer-disconnected").with("peer", remote).with("cause", e.getMessage()));
      }
    } finally {
      close();
    }
  }

  private void handle(Frame frame) {
    if (frame.body() instanceof Ping ping) {
      send(Pong.of(ping.number()));
    } else if (frame.body() instanceof Pong) {
      return;
    } else if (frame.answer()) {
      CompletableFuture<ControlAnswer> call = calls.remove(frame.correlation());
      if (call != null && frame.body() instanceof ControlAnswer answer) {
        call.complete(answer);
      }
    } else {
      handler.received(this, frame.correlation(), frame.body());
    }
  }

  private void writeAll() {
    long pings = 0;
    try {
      while (!isClosed.get()) {
        byte[] body = queue.poll(PING_MILLIS, TimeUnit.MILLISECONDS);
        if (body == null) {
          pings++;
          body = FrameCodec.encode(Frame.of(0, false, Ping.of(pings)));
          queuedBytes.addAndGet(body.length);
        }
        FrameCodec.write(output, body);
        traffic.sent(body.length);
        queuedBytes.addAndGet(-body.length);
        if (queue.isEmpty()) {
          output.flush();
        }
      }
    } catch (IOException e) {
      close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      close();
    }
  }

  @Override
  public void close() {
    if (!isClosed.compareAndSet(false, true)) {
      return;
    }
    Sockets.closeQuietly(socket);
    IOException cause = new IOException("the connection to " + remote + " closed");
    calls.values().forEach(call -> call.completeExceptionally(cause));
    handler.closed(this);
  }
}
