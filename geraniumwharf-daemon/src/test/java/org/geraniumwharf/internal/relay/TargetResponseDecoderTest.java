package org.geraniumwharf.internal.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against the beginning of a refusal that is joined to the answer to the next request, which
 * ran: the status and the promise of the first stand before the id of the second (soak, seed 1:
 * TWICE and REFUSED).
 */
class TargetResponseDecoderTest {

  @ParameterizedTest
  @CsvSource({
    "Date: Sat HTTP/1.1 200 Answer, true",
    "Date: HTTP/1.1 2 00 Answer, true",
    "Date: HTTP/1.1 +200 Answer, true",
    "Date: HTTP/1.1 -200 Answer, true",
    "Date: HTTP/1.1 20 Answer, true",
    "Date: HTTP/1.1 Answer, true",
    "Date: HTTP/1.1200 Answer, true",
    "Via: HTTP/1.1 200 Answer, true",
    "Via: HTTP/1.1 +200 Answer, true",
    "Via: HTTP/1.1 2 00 Answer, true",
    "Via: HTTP/1.1 proxy-1, false",
    "Via: HTTP/1.1 10.0.0.1:80 (proxy), false",
    "Upgrade: HTTP/2.0, false"
  })
  void should_find_a_status_line_with_any_code_in_a_header(String header, boolean isJoined) {
    EmbeddedChannel channel = new EmbeddedChannel(new TargetResponseDecoder());
    String text =
        "HTTP/1.1 503 Answer\r\nX-Note: 1\r\n"
            + header
            + "\r\nX-Request-Id: e3c3-19\r\nContent-Length: 0\r\n\r\n";

    channel.writeInbound(
        channel.alloc().buffer().writeBytes(text.getBytes(StandardCharsets.ISO_8859_1)));
    HttpResponse head = channel.readInbound();

    assertEquals(isJoined, TargetResponseDecoder.isJoinedFromTwo(head));
    channel.finishAndReleaseAll();
  }
}
