package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Instant;
import java.util.Optional;
import org.geraniumwharf.limit.Permit;
import org.geraniumwharf.limit.RequestLimit;
import org.geraniumwharf.relay.CacheTransfers;
import org.geraniumwharf.relay.FirstTokenEstimate;
import org.geraniumwharf.relay.RelayLoadTable;
import org.geraniumwharf.relay.RelayPlacement;
import org.geraniumwharf.relay.RelayTarget;
import org.geraniumwharf.relay.TargetNotice;

/**
 * A request to one target. Buffers the response, or decodes it to events if it is streamed, and
 * reports the result to the exchange. Confined to the event loop of the exchange.
 */
final class TargetCall implements TargetConnection.ResponseListener {

  /** Largest response that is buffered until it is complete. */
  private static final int MAX_BUFFERED_BYTES = 512 << 10;

  private static final int FIRST_ERROR_STATUS = 400;

  /** Largest event of a stream. */
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private static final String JOINED_BODY = "the body of the answer holds another answer";
  private static final byte[] NOTHING = {};

  private final RelayExchange exchange;
  private final RelayTarget target;
  private final RelayLoadTable.InFlightRequest run;
  private final EventStreamDecoder eventDecoder = new EventStreamDecoder();

  /** Copied, since a response may come in as many pieces as it has bytes. */
  private final ByteBuf body = Unpooled.buffer(0);

  private final RelayPlacement.Choice choice;
  private final Permit permit;
  private Optional<FirstTokenEstimate> estimate = Optional.empty();
  private Optional<TargetConnection> connection = Optional.empty();
  private Optional<HttpResponse> head = Optional.empty();
  private TargetResponse.Verdict verdict = TargetResponse.Verdict.UNTRUSTED;
  private int eventCount;
  private boolean isResumed;
  private boolean isTurnedAway;
  private boolean isFailed;
  private boolean isEnded;

  TargetCall(
      RelayExchange exchange,
      RelayTarget target,
      RelayLoadTable.InFlightRequest run,
      RelayPlacement.Choice choice,
      Permit permit) {
    this.choice = choice;
    this.permit = permit;
    this.exchange = exchange;
    this.target = target;
    this.run = run;
  }

  /** Returns the entry of this call in the load table. */
  RelayLoadTable.InFlightRequest run() {
    return run;
  }

  RelayTarget target() {
    return target;
  }

  /** Returns the permit that the request uses when it is sent. */
  Permit permit() {
    return permit;
  }

  /**
   * Records that the request is being sent.
   *
   * @param isResumed whether the target is asked for the rest of a stream only
   */
  void sent(TargetConnection opened, CacheTransfers transfers, boolean isResumed, Instant now) {
    connection = Optional.of(opened);
    this.isResumed = isResumed;
    estimate = Optional.of(new FirstTokenEstimate(choice, transfers, now));
  }

  /** Returns what was expected when the request was sent; empty if it has not been. */
  Optional<FirstTokenEstimate> estimate() {
    return estimate;
  }

  boolean isSent() {
    return connection.isPresent();
  }

  /** Returns whether the target was asked for the rest of a stream only. */
  boolean isResumed() {
    return isResumed;
  }

  /** Returns whether neither side has closed the connection over which the request was sent. */
  boolean isConnectionOpen() {
    return connection.filter(TargetConnection::isOpen).isPresent();
  }

  /** Returns the head of the response to the request; empty if none has come. */
  Optional<HttpResponse> head() {
    return head;
  }

  /** Returns the number of complete events of the stream that were received. */
  int eventCount() {
    return eventCount;
  }

  /** Returns whether the target asked for a pause, which is no failure of it. */
  boolean isTurnedAway() {
    return isTurnedAway;
  }

  /**
   * Returns whether the target has worked on the request, as far as is known. Calls that failed or
   * were refused tell nothing about the rate at which targets work.
   */
  boolean isWorkDone() {
    boolean isRefused =
        head.filter(received -> received.status().code() >= FIRST_ERROR_STATUS).isPresent();
    return isSent() && !isRefused && !isFailed;
  }

  boolean isEnded() {
    return isEnded;
  }

  /** Cancels the call by closing its connection. */
  void cancel() {
    isEnded = true;
    body.release();
    connection.ifPresent(TargetConnection::cancel);
  }

  void setReading(boolean isReading) {
    connection.ifPresent(open -> open.setReading(isReading));
  }

  @Override
  public void onNotice(TargetNotice notice) {
    isTurnedAway |= notice.pause().isPresent();
    exchange.noticeReceived(target, notice);
  }

  @Override
  public void onHead(HttpResponse newHead, TargetResponse response) {
    head = Optional.of(newHead);
    verdict = response.verdict();
    Optional<RequestLimit> limit = response.notice().limit();
    if (limit.isPresent()) {
      exchange.limitStated(this, limit.get(), statedFrom());
    }
  }

  /**
   * Returns the earliest time at which the response may have been formed. A response that may come
   * from elsewhere ends no limit.
   */
  private Instant statedFrom() {
    return verdict == TargetResponse.Verdict.UNTRUSTED
        ? Instant.MIN
        : estimate.map(FirstTokenEstimate::sentAt).orElse(Instant.MIN);
  }

  private boolean isEventStream() {
    return verdict == TargetResponse.Verdict.SUCCEEDED && exchange.request().isStream();
  }

  @Override
  public void onContent(ByteBuf bytes) {
    if (isEnded) {
      return;
    }
    if (isEventStream()) {
      for (EventStreamDecoder.StreamEvent event : eventDecoder.decode(bytes)) {
        if (holdsOtherResponse(event.bytes(), NOTHING)) {
          rejectResponse(JOINED_BODY);
          return;
        }
        eventCount++;
        exchange.eventReceived(this, head.orElseThrow(), event);
      }
      if (!isEnded && eventDecoder.partialEventBytes() > MAX_EVENT_BYTES) {
        rejectResponse("an event exceeds " + MAX_EVENT_BYTES + " bytes");
      }
    } else if (body.readableBytes() + bytes.readableBytes() > MAX_BUFFERED_BYTES) {
      rejectResponse("the answer exceeds " + MAX_BUFFERED_BYTES + " bytes");
    } else {
      body.writeBytes(bytes);
    }
  }

  private boolean holdsOtherResponse(ByteBuf bytes, byte[] behind) {
    return JoinedBody.holdsOther(bytes, behind, exchange.parsedRequest().id());
  }

  private void rejectResponse(String cause) {
    connection.ifPresent(TargetConnection::cancel);
    onFailure(cause);
  }

  @Override
  public void onComplete() {
    if (isEnded) {
      return;
    }
    if (holdsOtherResponse(body, connection.orElseThrow().bytesBehind())) {
      rejectResponse(JOINED_BODY);
      return;
    }
    isEnded = true;
    exchange.releaseConnection(this, connection.orElseThrow());
    if (isEventStream()) {
      body.release();
      if (eventDecoder.partialEventBytes() > 0) {
        fail("the stream ended within an event");
      } else {
        exchange.streamCompleted(this);
      }
      return;
    }
    switch (verdict) {
      case SUCCEEDED -> exchange.responseReceived(this, head.orElseThrow(), body);
      case FAILED -> exchange.errorResponseReceived(this, head.orElseThrow(), body);
      case NOT_EXECUTED -> {
        body.release();
        exchange.notExecuted(this, head.orElseThrow().status().code());
      }
      case UNTRUSTED -> {
        body.release();
        fail("the answer cannot be trusted");
      }
    }
  }

  private void fail(String cause) {
    isFailed = true;
    exchange.callFailed(this, cause);
  }

  @Override
  public void onFailure(String cause) {
    if (isEnded) {
      return;
    }
    isEnded = true;
    body.release();
    if (verdict == TargetResponse.Verdict.NOT_EXECUTED && head.isPresent()) {
      exchange.notExecuted(this, head.get().status().code());
    } else {
      fail(cause);
    }
  }
}
