package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses of a target. Unlike the client codec of the library it tells whether it
 * holds bytes behind a complete response, which would be put before the next one.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_INITIAL_LINE_BYTES = 8192;
  private static final int MAX_HEAD_BYTES = 64 << 10;
  private static final int MAX_CHUNK_BYTES = 64 << 10;
  private static final int MAX_BUFFERED_HEAD_BYTES = 4096;
  private static final int STATUS_DIGITS = 3;
  private static final byte[] EMPTY = {};

  /**
   * Start of a status line, whatever its code. A response that has one within its own status line
   * or a header is refused, since it cannot be told from two that were joined.
   */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/\\d\\.\\d[ \t\\d]", Pattern.CASE_INSENSITIVE);

  /** The same in a header that may name the protocol before the name of a proxy. */
  private static final Pattern STATUS_LINE_IN_VIA =
      Pattern.compile("HTTP/\\d\\.\\d[ \t]*[+-]?\\d{1,4}([ \t]|$)", Pattern.CASE_INSENSITIVE);

  private static final String PROTOCOL = "HTTP";

  private boolean isHeadRequest;

  TargetResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  /** Sets the method of the request whose response is decoded next. */
  void requestSent(HttpMethod method) {
    isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  /** Returns the number of received bytes that are not decoded yet. */
  int bufferedBytes() {
    return actualReadableBytes();
  }

  /** Returns the first of the received bytes that are not decoded yet, enough for a head. */
  byte[] firstBufferedBytes() {
    int count = Math.min(bufferedBytes(), MAX_BUFFERED_HEAD_BYTES);
    return count == 0
        ? EMPTY
        : ByteBufUtil.getBytes(internalBuffer(), internalBuffer().readerIndex(), count);
  }

  /**
   * Returns whether a head has a second status line within, as after the beginning of a response
   * that was cut.
   */
  static boolean isJoinedFromTwo(HttpResponse head) {
    if (!head.protocolVersion().protocolName().equals(PROTOCOL)
        || hasStatusLine(head.status().reasonPhrase(), STATUS_LINE)) {
      return true;
    }
    for (Map.Entry<String, String> header : head.headers()) {
      boolean isVia = HttpHeaderNames.VIA.contentEqualsIgnoreCase(header.getKey());
      if (hasStatusLine(header.getValue(), isVia ? STATUS_LINE_IN_VIA : STATUS_LINE)) {
        return true;
      }
    }
    return false;
  }

  /** Most values have no slash behind the name of the protocol, and are not matched at all. */
  private static boolean hasStatusLine(String text, Pattern pattern) {
    int slash = text.indexOf('/', PROTOCOL.length());
    while (slash >= 0) {
      int start = slash - PROTOCOL.length();
      if (text.regionMatches(true, start, PROTOCOL, 0, PROTOCOL.length())) {
        return pattern.matcher(text).find();
      }
      slash = text.indexOf('/', slash + 1);
    }
    return false;
  }

  /** Thrown for a status line whose code is none of HTTP, from 100 to 599. */
  static final class InvalidStatusException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    InvalidStatusException() {
      super("the status line has an invalid code");
    }
  }

  /**
   * Reads the code of a status line. The library takes any number, also with a sign, and any space
   * before it.
   */
  @Override
  protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
    boolean isCode =
        length == STATUS_DIGITS
            && line[start] >= '1'
            && line[start] <= '5'
            && isDigit(line[start + 1])
            && isDigit(line[start + 2])
            && line[start - 1] == ' '
            && isDigit(line[start - 2]);
    if (!isCode) {
      throw new InvalidStatusException();
    }
    return super.splitSecondWordInitialLine(line, start, length);
  }

  private static boolean isDigit(byte character) {
    return character >= '0' && character <= '9';
  }

  /** Returns whether the head states how the body ends. */
  static boolean isLengthStated(HttpResponse head) {
    return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
  }

  /** Returns whether the end of the body does not depend on the end of the connection. */
  boolean isBodyDelimited(HttpResponse head) {
    return isLengthStated(head) || isContentAlwaysEmpty(head);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isInterim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    return super.isContentAlwaysEmpty(message) || (isHeadRequest && !isInterim);
  }
}
