package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds a second response to the same request within a body: the target broke off within the body
 * and sent a whole response behind it, whose beginning fills the rest of the first one's length.
 *
 * <p>A status line and the id of the request within a body prove nothing, since a target may return
 * such a text. The second response is taken for one only if it does not end within the body by its
 * own framing. If it ends there, or has no framing, nothing tells the two apart.
 */
final class JoinedBody {

  private static final byte[] PROTOCOL = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
  private static final String HEAD_END = "\r\n\r\n";
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5]\\d\\d[ \r]");
  private static final Pattern LENGTH =
      Pattern.compile("\r\ncontent-length: *(\\d{1,9})\r\n", Pattern.CASE_INSENSITIVE);
  private static final Pattern CHUNKED =
      Pattern.compile("\r\ntransfer-encoding: *chunked\r\n", Pattern.CASE_INSENSITIVE);

  private JoinedBody() {}

  /**
   * Returns whether a body holds the beginning of another response to a request.
   *
   * @param behind bytes that were received behind the body
   * @param requestId id of the request, which is not empty
   */
  static boolean holdsOther(ByteBuf body, byte[] behind, String requestId) {
    int start = body.readerIndex();
    int from = next(body, start);
    if (from < 0) {
      return false;
    }
    int skipped = from - start;
    String text =
        body.toString(from, body.writerIndex() - from, StandardCharsets.ISO_8859_1)
            + new String(behind, StandardCharsets.ISO_8859_1);
    int bodyEnd = body.readableBytes() - skipped;
    Matcher line = STATUS_LINE.matcher(text);
    while (line.find() && line.start() < bodyEnd) {
      if (isOther(text.substring(line.start()), bodyEnd - line.start(), requestId)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the first place at which a status line may begin or be cut off, or -1. */
  private static int next(ByteBuf body, int start) {
    int end = body.writerIndex();
    int at = body.indexOf(start, end, PROTOCOL[0]);
    while (at >= 0) {
      int compared = Math.min(PROTOCOL.length, end - at);
      if (body.slice(at, compared).equals(Unpooled.wrappedBuffer(PROTOCOL, 0, compared))) {
        return at;
      }
      at = body.indexOf(at + 1, end, PROTOCOL[0]);
    }
    return -1;
  }

  /** Returns whether a text begins with a response that does not end before a position. */
  private static boolean isOther(String text, int bodyEnd, String requestId) {
    int headEnd = text.indexOf(HEAD_END);
    String head = headEnd < 0 ? text : text.substring(0, headEnd + HEAD_END.length());
    if (!head.contains(": " + requestId + "\r\n") && !head.contains(":" + requestId + "\r\n")) {
      return false;
    }
    if (headEnd < 0 || head.length() > bodyEnd) {
      return true;
    }
    Matcher length = LENGTH.matcher(head);
    if (length.find()) {
      return head.length() + Long.parseLong(length.group(1)) > bodyEnd;
    }
    return CHUNKED.matcher(head).find()
        && !text.substring(headEnd + 2, bodyEnd).contains(LAST_CHUNK);
  }
}
