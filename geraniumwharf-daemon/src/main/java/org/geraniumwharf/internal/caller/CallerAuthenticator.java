package org.geraniumwharf.internal.caller;

import io.javalin.http.Context;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.credential.CallerKey;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.http.BearerTokens;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.Route;

/** Who calls, and whether it may use a route. */
final class CallerAuthenticator {

  private CallerAuthenticator() {}

  static Organisation authenticate(Context context, Configuration configuration)
      throws ServingException {
    return CallerKey.parse(BearerTokens.of(context))
        .flatMap(configuration::authenticate)
        .orElseThrow(() -> ServingErrors.unauthenticated("the key is not valid"));
  }

  /** A route of another organisation is answered like one that does not exist. */
  static Route route(String name, Organisation organisation, Configuration configuration)
      throws ServingException {
    return configuration
        .route(name)
        .filter(route -> organisation.routes().contains(route.name()))
        .orElseThrow(() -> ServingErrors.unknownRoute(name));
  }
}
