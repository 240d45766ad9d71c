package org.geraniumwharf.internal.http;

import io.javalin.http.Context;
import org.geraniumwharf.credential.SecretHash;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;

/** Credentials in the Authorization header. */
public final class BearerTokens {

  private static final String SCHEME = "Bearer ";

  private BearerTokens() {}

  /**
   * Returns the token of a request.
   *
   * @throws ServingException if there is none
   */
  public static String of(Context context) throws ServingException {
    String header = context.header("Authorization");
    if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      throw ServingErrors.unauthenticated("the request has no bearer token");
    }
    return header.substring(SCHEME.length()).strip();
  }

  /**
   * Checks the token of a request against the one that is allowed.
   *
   * @throws ServingException if it is another
   */
  public static void check(Context context, SecretHash allowed) throws ServingException {
    if (!allowed.matches(of(context))) {
      throw ServingErrors.unauthenticated("the bearer token is not valid here");
    }
  }
}
