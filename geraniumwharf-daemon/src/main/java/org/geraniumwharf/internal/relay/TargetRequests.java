package org.geraniumwharf.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;

/** Builds the requests that are sent to targets. */
final class TargetRequests {

  private TargetRequests() {}

  /** Returns a request with the method, path and body of the caller's, which shares its body. */
  static FullHttpRequest forward(
      RelayProtocol protocol,
      FullHttpRequest fromCaller,
      RelayProtocol.ForwardedRequest forwarded) {
    HttpHeaders headers = protocol.targetHeaders(fromCaller.headers(), forwarded);
    ByteBuf body = fromCaller.content().retainedDuplicate();
    if (body.isReadable() || fromCaller.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        fromCaller.method(),
        fromCaller.uri(),
        body,
        headers,
        EmptyHttpHeaders.INSTANCE);
  }
}
