package org.geraniumwharf.internal.target;

import java.io.IOException;
import java.util.regex.Pattern;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Fails a call whose answer begins with the beginning of another one, which a target sent behind a
 * complete answer on the same connection.
 */
final class JoinedHeadCheck implements Interceptor {

  /**
   * Start of a status line. An answer that has one within its own status line or a header is
   * refused, since it cannot be told from two that were joined.
   */
  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/\\d\\.\\d +\\d{3}", Pattern.CASE_INSENSITIVE);

  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    String head = response.message() + "\n" + response.headers();
    if (STATUS_LINE.matcher(head).find()) {
      chain.connection().socket().close();
      response.close();
      throw new IOException("the head of the answer holds another one");
    }
    return response;
  }
}
