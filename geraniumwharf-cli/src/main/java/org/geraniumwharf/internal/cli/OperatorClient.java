package org.geraniumwharf.internal.cli;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.callers.ErrorAnswer;

/** Calls the operators' edge of the first daemon that answers. */
public final class OperatorClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int UNAUTHORIZED = 401;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int UNPROCESSABLE = 422;
  private static final int CONFLICT = 409;

  private final List<String> addresses;
  private final String key;
  private final OkHttpClient http;

  private OperatorClient(List<String> addresses, String key, OkHttpClient http) {
    this.addresses = addresses;
    this.key = key;
    this.http = http;
  }

  /**
   * Creates a client.
   *
   * @param addresses base URLs of operators' edges
   * @param key operators' key
   */
  public static OperatorClient of(List<String> addresses, String key) {
    OkHttpClient http =
        new OkHttpClient.Builder().callTimeout(TIMEOUT).readTimeout(TIMEOUT).build();
    return new OperatorClient(List.copyOf(addresses), key, http);
  }

  List<String> addresses() {
    return addresses;
  }

  /** Asks the daemons in turn until one answers. */
  <T> T get(String path, Class<T> type) throws CliException {
    return call(path, null, type);
  }

  /** Posts to the daemons in turn until one answers; the call must be repeatable. */
  <T> T post(String path, Object body, Class<T> type) throws CliException {
    return call(path, Codec.json().encode(body), type);
  }

  private <T> T call(String path, byte[] body, Class<T> type) throws CliException {
    CliException last = CliException.of(ExitStatus.UNAVAILABLE, "no operators' address is given");
    for (String address : addresses) {
      try {
        return callAt(address, path, body, type);
      } catch (CliException e) {
        if (e.status() != ExitStatus.UNAVAILABLE) {
          throw e;
        }
        last = e;
      }
    }
    throw last;
  }

  /** Asks one daemon. */
  <T> T getAt(String address, String path, Class<T> type) throws CliException {
    return callAt(address, path, null, type);
  }

  private <T> T callAt(String address, String path, byte[] body, Class<T> type)
      throws CliException {
    HttpUrl url = HttpUrl.parse(address + path);
    if (url == null) {
      throw CliException.of(ExitStatus.USAGE, "not a URL: " + address);
    }
    Request.Builder request =
        new Request.Builder().url(url).header("Authorization", "Bearer " + key);
    if (body != null) {
      request.post(RequestBody.create(body, JSON));
    }
    try (Response response = http.newCall(request.build()).execute()) {
      byte[] answer = response.body().bytes();
      int status = response.code();
      boolean isAnswer = response.isSuccessful() || isPublishOutcome(status, body);
      if (isAnswer) {
        return Codec.json().decode(answer, type);
      }
      throw refused(address, status, answer);
    } catch (IOException e) {
      throw CliException.of(ExitStatus.UNAVAILABLE, address + " did not answer: " + e.getMessage());
    }
  }

  private static boolean isPublishOutcome(int status, byte[] body) {
    return body != null && (status == CONFLICT || status == UNPROCESSABLE);
  }

  private static CliException refused(String address, int status, byte[] answer) {
    String message = address + " answered " + status;
    try {
      message += ": " + Codec.json().decode(answer, ErrorAnswer.class).error().message();
    } catch (IOException | RuntimeException e) {
      message += " without an error body";
    }
    if (status == SERVICE_UNAVAILABLE) {
      return CliException.of(ExitStatus.UNAVAILABLE, message);
    }
    return status == UNAUTHORIZED
        ? CliException.of(ExitStatus.FAILURE, message + " (set the operators' key)")
        : CliException.of(ExitStatus.FAILURE, message);
  }
}
