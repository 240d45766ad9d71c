package org.geraniumwharf.internal.target;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.geraniumwharf.error.Execution;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.LoadReport;

/** Speaks to targets over HTTP. The client library itself never repeats a request. */
public final class HttpTargetClient implements EngineClient, ServiceClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(750);
  private static final int MAX_IDLE_CONNECTIONS = 512;
  private static final long IDLE_SECONDS = 20;
  private static final int MAX_GENERATED_BYTES = 16 << 20;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int FIRST_CLIENT_ERROR = 400;

  private final OkHttpClient reusing;
  private final OkHttpClient single;

  private HttpTargetClient(OkHttpClient reusing, OkHttpClient single) {
    this.reusing = reusing;
    this.single = single;
  }

  public static HttpTargetClient create() {
    OkHttpClient reusing =
        new OkHttpClient.Builder()
            .protocols(List.of(Protocol.HTTP_1_1))
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .socketFactory(new EndCheckingSocketFactory())
            .addNetworkInterceptor(new ResponseHeadCheck())
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS))
            .build();
    OkHttpClient single =
        reusing
            .newBuilder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .build();
    return new HttpTargetClient(reusing, single);
  }

  @Override
  public EngineCall prepare(TargetRequest request) {
    return new HttpEngineCall(new Exchange(reusing, request));
  }

  @Override
  public TargetAnswer generate(TargetRequest request) throws TargetCallException, TargetRejection {
    TargetAnswer answer = new Exchange(reusing, request).whole(MAX_GENERATED_BYTES, true);
    if (answer.status() >= FIRST_CLIENT_ERROR) {
      throw TargetRejection.of(request.target().id(), answer);
    }
    return answer;
  }

  @Override
  public TargetAnswer call(TargetRequest request, int maxAnswerBytes) throws TargetCallException {
    return new Exchange(reusing, request).whole(maxAnswerBytes, false);
  }

  @Override
  public TargetAnswer callOnce(TargetRequest request, int maxAnswerBytes)
      throws TargetCallException {
    return new Exchange(single, request).whole(maxAnswerBytes, false);
  }

  /** One request and what is known of whether it was sent. */
  private static final class Exchange {

    private final TargetRequest request;
    private final SendTracker tracker = new SendTracker();
    private final Call call;

    Exchange(OkHttpClient client, TargetRequest request) {
      this.request = request;
      OkHttpClient tracked =
          client
              .newBuilder()
              .eventListener(tracker)
              .callTimeout(request.timeout())
              .readTimeout(request.timeout())
              .writeTimeout(request.timeout())
              .build();
      Request.Builder http =
          new Request.Builder()
              .url(request.target().address() + request.path())
              .header(TargetHeaders.ATTEMPT, request.attempt())
              .post(RequestBody.create(request.body(), MediaType.parse(request.contentType())));
      request.headers().forEach(http::header);
      this.call = tracked.newCall(http.build());
    }

    Response execute() throws TargetCallException {
      try {
        Response response = call.execute();
        if (response.code() >= FIRST_SERVER_ERROR) {
          try (response) {
            throw serverError(response);
          }
        }
        return response;
      } catch (IOException e) {
        throw failure(e);
      }
    }

    /** A refusal that does not carry the attempt's id may be that of an earlier request. */
    private TargetCallException serverError(Response response) {
      String reason = "it answered " + response.code();
      boolean isNotRun =
          TargetHeaders.NOT_RUN.equals(response.header(TargetHeaders.RUN))
              && request.attempt().equals(response.header(TargetHeaders.ATTEMPT));
      return isNotRun
          ? TargetCallException.notRun(request.target().id(), reason)
          : TargetCallException.unclear(request.target().id(), reason);
    }

    TargetCallException failure(IOException cause) {
      Execution execution = tracker.isSent() ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN;
      String id = request.target().id();
      if (cause instanceof InterruptedIOException) {
        return TargetCallException.timeout(id, execution);
      }
      String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
      return execution == Execution.NOT_RUN
          ? TargetCallException.notRun(id, reason)
          : TargetCallException.unclear(id, reason);
    }

    /**
     * An answer with another id is not the answer to this request. Engines must name it; a plain
     * service may not know it.
     */
    void checkAttempt(Response response, boolean isNameRequired) throws TargetCallException {
      String answered = response.header(TargetHeaders.ATTEMPT);
      boolean isAllowedAbsent = answered == null && !isNameRequired;
      if (!isAllowedAbsent && !request.attempt().equals(answered)) {
        throw TargetCallException.unclear(
            request.target().id(), "it answered another attempt: " + answered);
      }
    }

    /**
     * After a write noticed that the target reset the connection, reading returns an end of input
     * as if the target had closed it in order. A body without a length may then have lost its rest.
     */
    void checkEndSentByTarget(Response response) throws IOException {
      if (tracker.isSendingFailed() && !ResponseHeadCheck.isBodyDelimited(response)) {
        throw new IOException("the connection failed while the request was written");
      }
    }

    TargetAnswer whole(int maxBytes, boolean isNameRequired) throws TargetCallException {
      try (Response response = execute()) {
        checkAttempt(response, isNameRequired);
        return wholeAnswer(response, maxBytes);
      }
    }

    TargetAnswer wholeAnswer(Response response, int maxBytes) throws TargetCallException {
      try {
        byte[] body = BoundedBodies.read(response, request.target().id(), maxBytes);
        checkEndSentByTarget(response);
        return TargetAnswer.of(
            response.code(),
            response.header("Content-Type", "application/octet-stream"),
            body,
            loadOf(response));
      } catch (IOException e) {
        throw failure(e);
      }
    }
  }

  private static Optional<LoadReport> loadOf(Response response) {
    String header = response.header(TargetHeaders.LOAD);
    if (header == null) {
      return Optional.empty();
    }
    try {
      byte[] json = header.getBytes(StandardCharsets.UTF_8);
      return Optional.of(Codec.json().decode(json, LoadReport.class));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static final class HttpEngineCall implements EngineCall {

    private final Exchange exchange;

    HttpEngineCall(Exchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public EngineStream open() throws TargetCallException, TargetRejection {
      Response response = exchange.execute();
      try {
        exchange.checkAttempt(response, true);
        if (response.code() >= FIRST_CLIENT_ERROR) {
          throw TargetRejection.of(
              exchange.request.target().id(), exchange.wholeAnswer(response, MAX_GENERATED_BYTES));
        }
        return new HttpEngineStream(exchange, response);
      } catch (TargetCallException | TargetRejection e) {
        response.close();
        throw e;
      }
    }

    @Override
    public void cancel() {
      exchange.call.cancel();
    }
  }

  private static final class HttpEngineStream implements EngineStream {

    private static final String DATA = "data:";
    private static final long MAX_LINE_BYTES = 1 << 20;

    private final Exchange exchange;
    private final Response response;
    private final BufferedSource source;

    HttpEngineStream(Exchange exchange, Response response) {
      this.exchange = exchange;
      this.response = response;
      this.source = response.body().source();
    }

    @Override
    public Optional<String> next() throws TargetCallException {
      try {
        while (!source.exhausted()) {
          String line = source.readUtf8LineStrict(MAX_LINE_BYTES);
          if (line.startsWith(DATA)) {
            return Optional.of(line.substring(DATA.length()).strip());
          }
        }
        exchange.checkEndSentByTarget(response);
        return Optional.empty();
      } catch (IOException e) {
        throw exchange.failure(e);
      }
    }

    @Override
    public Optional<LoadReport> load() {
      return loadOf(response);
    }

    @Override
    public void close() {
      exchange.call.cancel();
      response.close();
    }
  }
}
