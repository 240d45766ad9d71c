package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.ControlDirectory;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayQueue;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.RelayWork;
import org.geraniumwharf.relay.ReturnTime;

/**
 * One request of a caller from its last byte to the last byte of its answer. Confined to the event
 * loop of the caller's connection.
 */
final class RelayExchange {

  /** Time after the deadline in which the target's own answer to it may still arrive. */
  private static final Duration DEADLINE_SLACK = Duration.ofMillis(120);

  private static final Duration RETRY_NO_TARGET = Duration.ofMillis(400);
  private static final Duration RETRY_REFUSED = Duration.ofMillis(250);

  /** Time in which room is expected by a request that waited in vain. */
  private static final Duration RETRY_AFTER_WAIT = Duration.ofMillis(700);

  private static final long QUEUE_RETRY_MILLIS = 60;

  private final RelayFront front;
  private final CallerConnection caller;
  private final EventLoop loop;
  private final FullHttpRequest request;
  private final RelayRequest read;
  private final Set<String> tried = new HashSet<>();
  private RelayWork work;
  private int sends;
  private boolean isDone;
  private boolean isAnswerBegun;
  private boolean mayHaveRun;
  private Optional<String> lastEvent = Optional.empty();
  private Optional<TargetCall> call = Optional.empty();
  private Optional<RelayQueue.Waiting<RelayExchange>> place = Optional.empty();
  private Optional<ScheduledFuture<?>> deadlineTimer = Optional.empty();
  private Optional<Instant> firstByteAt = Optional.empty();

  RelayExchange(
      RelayFront front,
      CallerConnection caller,
      EventLoop loop,
      FullHttpRequest request,
      RelayRequest read) {
    this.front = front;
    this.caller = caller;
    this.loop = loop;
    this.request = request;
    this.read = read;
  }

  RelayWork work() {
    return work;
  }

  RelayRequest read() {
    return read;
  }

  // ------------------------------------------------------------------ waiting

  void begin() {
    Instant now = front.now();
    front.inFlight().incrementAndGet();
    front.metrics().requestArrived();
    try {
      work = front.admission().admit(read, now);
    } catch (ServingException e) {
      refuse(e);
      return;
    }
    Duration left = Duration.between(now, work.deadline());
    if (left.isNegative() || left.isZero()) {
      refuseOverloaded(RETRY_REFUSED, Duration.ZERO);
      return;
    }
    front.budget(work).deposit();
    deadlineTimer = Optional.of(schedule(this::deadlinePassed, left.plus(DEADLINE_SLACK)));
    choose();
  }

  private ScheduledFuture<?> schedule(Runnable task, Duration delay) {
    return loop.schedule(task, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  /** Tries again for a place; called when one may have come free. */
  void wake() {
    loop.execute(
        () -> {
          if (!isDone && place.isPresent()) {
            choose();
          }
        });
  }

  private void choose() {
    Instant now = front.now();
    RelayQueue<RelayExchange> queue = front.queue(work);
    boolean isTurn = place.isPresent() || !queue.mustWaitBehind(work.priority(), work.footprint());
    Optional<RelayPlacement.Choice> choice =
        isTurn ? front.choose(work, tried, now) : Optional.empty();
    if (choice.isEmpty() && isAnswerBegun) {
      choice = front.chooseEvenResting(work, tried, now);
    }
    if (choice.isPresent()) {
      leaveQueue();
      send(choice.get(), now);
    } else if (place.isEmpty()) {
      enqueue(queue, now);
    }
  }

  private void enqueue(RelayQueue<RelayExchange> queue, Instant now) {
    Duration left = Duration.between(now, work.deadline());
    boolean isAnyLeft =
        front.admission().targets().of(work.service().name()).stream()
            .anyMatch(target -> !tried.contains(target.id()));
    if (!isAnyLeft) {
      refuse(
          ServingErrors.noTarget(work.route().name())
              .withRetryAfter(ReturnTime.after(read.id(), RETRY_NO_TARGET, left)));
      return;
    }
    RelayQueue.Admission<RelayExchange> admission =
        queue.offer(this, work.priority(), work.footprint(), work.deadline(), now);
    place = admission.place();
    if (place.isEmpty()) {
      refuseOverloaded(admission.expectedWait(), left);
      return;
    }
    var unused = schedule(this::giveUpWaiting, Duration.between(now, place.get().givesUpAt()));
    retryFromQueue();
  }

  /** A place may also come free because a target's rest ends, which wakes nobody. */
  private void retryFromQueue() {
    var unused =
        loop.schedule(
            () -> {
              if (!isDone && place.isPresent()) {
                choose();
                retryFromQueue();
              }
            },
            QUEUE_RETRY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void giveUpWaiting() {
    if (!isDone && place.isPresent()) {
      refuseOverloaded(RETRY_AFTER_WAIT, Duration.between(front.now(), work.deadline()));
    }
  }

  private void refuseOverloaded(Duration expected, Duration left) {
    refuse(
        ServingErrors.overloaded(
            "every target of " + work.service().name() + " is busy",
            ReturnTime.after(read.id(), expected, left)));
  }

  private void leaveQueue() {
    place.ifPresent(waiting -> front.queue(work).remove(waiting));
    place = Optional.empty();
  }

  // ------------------------------------------------------------------ sending

  private void send(RelayPlacement.Choice choice, Instant now) {
    RelayTarget target = choice.target();
    tried.add(target.id());
    RelayLoadTable.Run run = front.load().sent(target, work, choice.firstTokenMillis());
    TargetCall next = new TargetCall(this, target, run);
    call = Optional.of(next);
    ExchangeLog.decision(front, work, sends + 1, choice, now);
    InetSocketAddress address = ControlDirectory.parseAddress(target.address());
    caller
        .targets()
        .acquire(address, opened -> sendOver(opened, next), cause -> unreachable(next, cause));
  }

  private void sendOver(TargetConnection opened, TargetCall next) {
    if (isDone || call.filter(current -> current == next).isEmpty()) {
      caller.targets().release(addressOf(next), opened);
      return;
    }
    Duration left = Duration.between(front.now(), work.deadline());
    if (left.isNegative() || left.isZero()) {
      caller.targets().release(addressOf(next), opened);
      deadlinePassed();
      return;
    }
    sends++;
    next.connected(opened);
    RelayProtocol.Sending sending =
        new RelayProtocol.Sending(
            work, next.target(), left, lastEvent, front.transfers(work, next.target()));
    HttpHeaders headers = front.protocol().toTarget(request.headers(), sending);
    ByteBuf body = request.content().retainedDuplicate();
    if (body.isReadable() || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    opened.send(
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            body,
            headers,
            EmptyHttpHeaders.INSTANCE),
        read.id(),
        next);
  }

  private static InetSocketAddress addressOf(TargetCall ended) {
    return ControlDirectory.parseAddress(ended.target().address());
  }

  void returnConnection(TargetCall ended, TargetConnection connection) {
    caller.targets().release(addressOf(ended), connection);
  }

  // ------------------------------------------------------- ends of one attempt

  private void unreachable(TargetCall ended, Throwable cause) {
    front.load().unreachable(ended.target().id(), front.now());
    front
        .log()
        .warn(
            Event.of("target-unreachable")
                .with("target", ended.target().id())
                .with("request", read.id())
                .with("cause", cause.getMessage()));
    if (endCall(ended)) {
      choose();
    }
  }

  /** Ends the count of a call; false when the exchange is over or has gone on without it. */
  private boolean endCall(TargetCall ended) {
    if (call.filter(current -> current == ended).isEmpty()) {
      return false;
    }
    call = Optional.empty();
    Instant now = front.now();
    front.load().ended(ended.run());
    front.ended(work, now);
    return !isDone;
  }

  void answered(TargetCall ended, HttpResponse head, ByteBuf body) {
    front.load().succeeded(ended.target().id());
    if (endCall(ended)) {
      finishWith(head, body, "answered", ended);
    } else {
      body.release();
    }
  }

  /** The target ran the request and failed. */
  void failedAtTarget(TargetCall ended, HttpResponse head, ByteBuf body) {
    front.load().failed(ended.target().id(), front.now());
    mayHaveRun = true;
    if (!endCall(ended)) {
      body.release();
    } else if (head.status().code() >= 500 && work.isRepeatable() && mayRepeat(0)) {
      body.release();
      repeat(ended, "status " + head.status().code());
    } else {
      finishWith(head, body, "failed", ended);
    }
  }

  /** The target says that it did not run the request. */
  void notRun(TargetCall ended, int status) {
    front.load().refused(ended.target().id(), front.now());
    if (!endCall(ended)) {
      return;
    }
    if (mayRepeat(1)) {
      repeat(ended, "not run, status " + status);
    } else {
      refuseOverloaded(RETRY_REFUSED, Duration.between(front.now(), work.deadline()));
    }
  }

  /** The connection ended or the answer was no answer; the request may have run. */
  void broken(TargetCall ended, String cause) {
    front.load().failed(ended.target().id(), front.now());
    mayHaveRun = true;
    if (!endCall(ended)) {
      return;
    }
    if (work.isRepeatable() && mayRepeat(0)) {
      repeat(ended, cause);
    } else if (isAnswerBegun) {
      cut(cause);
    } else {
      fail(ServingErrors.targetFailed(ended.target().id(), cause));
    }
  }

  /**
   * Tells whether the request may be sent once more, and takes that from the budget.
   *
   * @param beyond sends that did not run and do not count against the route's bound
   */
  private boolean mayRepeat(int beyond) {
    boolean isTimeLeft = front.now().isBefore(work.deadline());
    return isTimeLeft
        && sends < work.route().maxTargets() + beyond
        && front.budget(work).tryWithdraw();
  }

  private void repeat(TargetCall ended, String cause) {
    front.metrics().retried();
    front
        .log()
        .info(
            Event.of("relay-repeat")
                .with("request", read.id())
                .with("target", ended.target().id())
                .with("cause", cause)
                .with("lastEvent", lastEvent.orElse("none")));
    choose();
  }

  // ------------------------------------------------------------------ streams

  /** Takes a whole event of a stream; one that the caller already has is dropped. */
  void event(TargetCall from, HttpResponse head, EventStream.StreamEvent event) {
    if (isDone) {
      return;
    }
    front.load().answering(from.run());
    if (isRepeated(event)) {
      return;
    }
    if (!isAnswerBegun) {
      isAnswerBegun = true;
      firstByteAt = Optional.of(front.now());
      front.metrics().firstToken(Duration.between(read.arrivedAt(), front.now()));
      caller.beginAnswer(head.status(), front.protocol().toCaller(head.headers()));
    }
    caller.write(event.bytes());
    event.id().ifPresent(id -> lastEvent = Optional.of(id));
  }

  private boolean isRepeated(EventStream.StreamEvent event) {
    if (event.id().isEmpty() || lastEvent.isEmpty()) {
      return false;
    }
    try {
      return Long.parseLong(event.id().get()) <= Long.parseLong(lastEvent.get());
    } catch (NumberFormatException e) {
      return event.id().equals(lastEvent);
    }
  }

  void streamEnded(TargetCall ended) {
    front.load().succeeded(ended.target().id());
    if (!endCall(ended)) {
      return;
    }
    if (isAnswerBegun) {
      finish("answered", ended.target().id(), "");
      caller.endAnswer();
    } else {
      fail(ServingErrors.targetFailed(ended.target().id(), "the stream has no event"));
    }
  }

  /** The caller's connection can take more bytes, or cannot. */
  void writable(boolean isWritable) {
    call.ifPresent(current -> current.setReading(isWritable));
  }

  // --------------------------------------------------------------- final ends

  void callerGone() {
    if (!isDone) {
      String target = call.map(current -> current.target().id()).orElse("none");
      finish("caller-gone", target, "");
    }
  }

  private void deadlinePassed() {
    if (isDone) {
      return;
    }
    call.ifPresent(current -> front.load().failed(current.target().id(), front.now()));
    if (isAnswerBegun) {
      cut("the time of the route is over");
    } else if (mayHaveRun || call.filter(TargetCall::isSent).isPresent()) {
      fail(ServingErrors.deadlineExceeded(work.route().timeoutMillis()));
    } else {
      refuseOverloaded(RETRY_REFUSED, Duration.ZERO);
    }
  }

  private void finishWith(HttpResponse head, ByteBuf body, String outcome, TargetCall ended) {
    firstByteAt = Optional.of(front.now());
    finish(outcome, ended.target().id(), "status " + head.status().code());
    caller.answer(head.status(), front.protocol().toCaller(head.headers()), body);
  }

  /**
   * Gives the request up. The error says that it has not run, which holds only if no target may
   * have run it.
   */
  private void refuse(ServingException error) {
    if (isAnswerBegun) {
      cut(error.getMessage());
    } else if (mayHaveRun) {
      fail(ServingErrors.targetFailed("every target that was tried", error.getMessage()));
    } else {
      answerError(error, "refused");
    }
  }

  private void fail(ServingException error) {
    answerError(error, "failed");
  }

  private void answerError(ServingException error, String outcome) {
    front.metrics().requestFailed(error.kind());
    String target = call.map(current -> current.target().id()).orElse("none");
    finish(outcome, target, error.kind().wireName() + ": " + error.getMessage());
    caller.answerError(read, error);
  }

  /** Ends an answer that cannot be completed, so that it does not look complete. */
  private void cut(String cause) {
    finish("cut", call.map(current -> current.target().id()).orElse("none"), cause);
    caller.cut();
  }

  private void finish(String outcome, String target, String cause) {
    isDone = true;
    leaveQueueIfAdmitted();
    deadlineTimer.ifPresent(timer -> timer.cancel(false));
    call.ifPresent(
        current -> {
          endCall(current);
          current.cancel();
        });
    request.release();
    front.inFlight().decrementAndGet();
    Instant now = front.now();
    front.metrics().requestEnded(Duration.between(read.arrivedAt(), now));
    ExchangeLog.End end = new ExchangeLog.End(outcome, target, sends, firstByteAt, cause);
    ExchangeLog.end(front.log(), read, Optional.ofNullable(work), end, now);
  }

  private void leaveQueueIfAdmitted() {
    if (work != null) {
      leaveQueue();
    }
  }
}
