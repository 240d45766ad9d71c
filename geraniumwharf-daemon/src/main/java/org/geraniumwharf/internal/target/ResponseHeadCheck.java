package org.geraniumwharf.internal.target;

import java.io.IOException;
import java.util.Set;
import java.util.regex.Pattern;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Fails a call whose answer has no status of HTTP, or begins with the beginning of another one,
 * which a target sent behind a complete answer on the same connection. Has the end of a body
 * without a length checked.
 */
final class ResponseHeadCheck implements Interceptor {

  /**
   * Start of a status line, whatever its code. An answer that has one within its own status line or
   * a header is refused, since it cannot be told from two that were joined.
   */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/\\d\\.\\d[ \t\\d]", Pattern.CASE_INSENSITIVE);

  /** The same in a header that may name the protocol before the name of a proxy. */
  private static final Pattern STATUS_LINE_IN_VIA =
      Pattern.compile("HTTP/\\d\\.\\d[ \t]*[+-]?\\d{1,4}([ \t]|$)", Pattern.CASE_INSENSITIVE);

  private static final Set<Integer> WITHOUT_BODY = Set.of(204, 304);
  private static final int FIRST_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /**
   * Requests with larger bodies do not fit into the ten segments that TCP sends at first, so that a
   * target may have answered before the rest was on its way.
   */
  private static final int LONG_BODY_BYTES = 14_000;

  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = proceed(chain);
    if (isJoinedFromTwo(response)) {
      throw failure(chain, response, "the head of the answer holds another one");
    }
    if (response.code() < FIRST_STATUS || response.code() > LAST_STATUS) {
      throw failure(chain, response, "the answer has the status " + response.code());
    }
    if (chain.connection().socket() instanceof EndCheckingSocket socket) {
      socket.checkEnd(endCheck(chain.request().body(), response));
    }
    return response;
  }

  /** The library throws an unchecked exception for a status with a minus sign. */
  private static Response proceed(Chain chain) throws IOException {
    try {
      return chain.proceed(chain.request());
    } catch (IllegalStateException e) {
      chain.connection().socket().close();
      throw new IOException("the status of the answer is invalid", e);
    }
  }

  private static boolean isJoinedFromTwo(Response response) {
    if (STATUS_LINE.matcher(response.message()).find()) {
      return true;
    }
    Headers headers = response.headers();
    for (int i = 0; i < headers.size(); i++) {
      boolean isVia = headers.name(i).equalsIgnoreCase("Via");
      if ((isVia ? STATUS_LINE_IN_VIA : STATUS_LINE).matcher(headers.value(i)).find()) {
        return true;
      }
    }
    return false;
  }

  private static IOException failure(Chain chain, Response response, String cause)
      throws IOException {
    chain.connection().socket().close();
    response.close();
    return new IOException(cause);
  }

  private static EndCheckingSocket.EndCheck endCheck(RequestBody sent, Response response)
      throws IOException {
    if (sent == null || isBodyDelimited(response)) {
      return EndCheckingSocket.EndCheck.NONE;
    }
    return sent.contentLength() > LONG_BODY_BYTES
        ? EndCheckingSocket.EndCheck.AFTER_A_WAIT
        : EndCheckingSocket.EndCheck.AT_ONCE;
  }

  /** Returns whether the end of a body does not depend on the end of the connection. */
  static boolean isBodyDelimited(Response response) {
    return response.body().contentLength() >= 0
        || "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))
        || WITHOUT_BODY.contains(response.code());
  }
}
