package org.geraniumwharf.internal.http;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpResponseException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.logging.Event;
import org.geraniumwharf.logging.EventLog;

/** Turns every failure into an error answer of the closed list. */
public final class ErrorAnswers {

  private static final String JSON = "application/json";
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int HEADER_TOO_LARGE = 431;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final long MILLIS_PER_SECOND = 1000;

  private final int headerBytes;
  private final EventLog log;

  private ErrorAnswers(int headerBytes, EventLog log) {
    this.headerBytes = headerBytes;
    this.log = log;
  }

  /**
   * Creates the answers of one server.
   *
   * @param headerBytes bound that an answer to a larger header names
   */
  public static ErrorAnswers of(int headerBytes, EventLog log) {
    return new ErrorAnswers(headerBytes, log);
  }

  void register(JavalinConfig config) {
    config.routes.exception(
        ServingException.class, (error, context) -> write(context, requestId(context), error));
    config.routes.exception(
        HttpResponseException.class,
        (error, context) ->
            write(context, requestId(context), ofStatus(error.getStatus(), context)));
    config.routes.exception(
        Exception.class,
        (error, context) -> {
          log.warn(Event.of("internal-error").with("path", context.path()).with("cause", error));
          write(
              context,
              requestId(context),
              ServingErrors.internal("an unforeseen error: " + error.getClass().getSimpleName()));
        });
  }

  private static String requestId(Context context) {
    return Optional.ofNullable(context.<String>attribute(RequestAttributes.REQUEST_ID)).orElse("");
  }

  private static ServingException ofStatus(int status, Context context) {
    return switch (status) {
      case NOT_FOUND -> ServingErrors.notFound(context.path());
      case METHOD_NOT_ALLOWED ->
          ServingErrors.methodNotAllowed(context.method().name(), context.path());
      default -> ServingErrors.invalidField("", "the request is malformed");
    };
  }

  /** Writes an error, unless the answer has begun. */
  public void write(Context context, String requestId, ServingException error) {
    log.info(
        Event.of("refused")
            .with("request", requestId)
            .with("kind", error.kind().wireName())
            .with("run", error.execution().wireName())
            .with("message", error.getMessage()));
    if (context.res().isCommitted()) {
      return;
    }
    context.status(error.kind().httpStatus());
    context.contentType(JSON);
    error
        .retryAfter()
        .ifPresent(wait -> context.header("Retry-After", String.valueOf(seconds(wait))));
    context.result(ErrorBodies.encode(requestId, error));
  }

  private static long seconds(Duration wait) {
    return Math.max(1, (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }

  /** Answers errors that the server finds before any route is reached. */
  ErrorHandler jettyHandler() {
    return new ErrorHandler() {
      @Override
      public boolean handle(Request request, Response response, Callback callback) {
        ServingException error = ofJettyStatus(response.getStatus());
        log.info(
            Event.of("refused")
                .with("request", "")
                .with("kind", error.kind().wireName())
                .with("run", error.execution().wireName())
                .with("message", error.getMessage()));
        byte[] body = ErrorBodies.encode("", error);
        response.getHeaders().put("Content-Type", JSON);
        response.getHeaders().put("Content-Length", body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
      }
    };
  }

  private ServingException ofJettyStatus(int status) {
    if (status == HEADER_TOO_LARGE) {
      return ServingErrors.headerTooLarge(headerBytes);
    }
    return status >= FIRST_SERVER_ERROR
        ? ServingErrors.internal("the server failed")
        : ServingErrors.invalidField("", "the request is not well-formed HTTP");
  }
}
