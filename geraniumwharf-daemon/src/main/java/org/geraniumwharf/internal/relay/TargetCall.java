package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayTarget;

/** One request at one target: gathers the answer and tells the exchange how it ended. */
final class TargetCall implements TargetConnection.Listener {

  /** Largest answer that is held back until it is whole. */
  private static final int MAX_HELD_BYTES = 512 << 10;

  private final RelayExchange exchange;
  private final RelayTarget target;
  private final RelayLoadTable.Run run;
  private final EventStream events = new EventStream();
  private final CompositeByteBuf held = Unpooled.compositeBuffer();
  private Optional<TargetConnection> connection = Optional.empty();
  private Optional<HttpResponse> head = Optional.empty();
  private TargetReply.Verdict verdict = TargetReply.Verdict.UNTRUSTED;
  private boolean isOver;

  TargetCall(RelayExchange exchange, RelayTarget target, RelayLoadTable.Run run) {
    this.exchange = exchange;
    this.target = target;
    this.run = run;
  }

  /** Returns the count of this call among the work at its target. */
  RelayLoadTable.Run run() {
    return run;
  }

  RelayTarget target() {
    return target;
  }

  void connected(TargetConnection opened) {
    connection = Optional.of(opened);
  }

  boolean isSent() {
    return connection.isPresent();
  }

  boolean isOver() {
    return isOver;
  }

  /** Gives the call up; the target sees its connection close. */
  void cancel() {
    isOver = true;
    held.release();
    connection.ifPresent(TargetConnection::cancel);
  }

  void setReading(boolean isReading) {
    connection.ifPresent(open -> open.setReading(isReading));
  }

  @Override
  public void head(HttpResponse answer, TargetReply reply) {
    head = Optional.of(answer);
    verdict = reply.verdict();
  }

  private boolean isStreamed() {
    return verdict == TargetReply.Verdict.SUCCEEDED && exchange.work().isStream();
  }

  @Override
  public void content(ByteBuf bytes) {
    if (isOver) {
      return;
    }
    if (isStreamed()) {
      for (EventStream.StreamEvent event : events.feed(bytes)) {
        exchange.event(this, head.orElseThrow(), event);
      }
    } else if (held.readableBytes() + bytes.readableBytes() > MAX_HELD_BYTES) {
      connection.ifPresent(TargetConnection::cancel);
      broken("the answer exceeds " + MAX_HELD_BYTES + " bytes");
    } else {
      held.addComponent(true, bytes.retain());
    }
  }

  @Override
  public void ended() {
    if (isOver) {
      return;
    }
    isOver = true;
    exchange.returnConnection(this, connection.orElseThrow());
    if (isStreamed()) {
      held.release();
      if (events.hasPartialEvent()) {
        exchange.broken(this, "the stream ended within an event");
      } else {
        exchange.streamEnded(this);
      }
      return;
    }
    switch (verdict) {
      case SUCCEEDED -> exchange.answered(this, head.orElseThrow(), held);
      case FAILED -> exchange.failedAtTarget(this, head.orElseThrow(), held);
      case NOT_RUN -> {
        held.release();
        exchange.notRun(this, head.orElseThrow().status().code());
      }
      case UNTRUSTED -> {
        held.release();
        exchange.broken(this, "the answer cannot be trusted");
      }
    }
  }

  @Override
  public void broken(String cause) {
    if (isOver) {
      return;
    }
    isOver = true;
    held.release();
    if (verdict == TargetReply.Verdict.NOT_RUN && head.isPresent()) {
      exchange.notRun(this, head.get().status().code());
    } else {
      exchange.broken(this, cause);
    }
  }
}
