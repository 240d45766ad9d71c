package org.geraniumwharf.internal.http;

/** Names of the attributes that travel with a request inside the server. */
public final class RequestAttributes {

  public static final String REQUEST_ID = "geraniumwharf-request-id";

  private RequestAttributes() {}
}
