package org.geraniumwharf.internal.relay;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.threads.DaemonThreads;
import org.geraniumwharf.relay.RelayRequest;
import org.geraniumwharf.relay.TargetNotice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait at the entry while long responses of others are read. */
class LongResponseHoldsUpOthersTest {

  private static final int RESPONSE_BYTES = 32 << 20;
  private static final int MAX_BYTES_PER_PASS = 64 << 10;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final EventLoop loop = loops.next();
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private ServerSocket server;

  /** Used on the event loop only. */
  private int bytesInPass;

  private int mostBytesInPass;

  @BeforeEach
  void startServer() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    DaemonThreads.start(this::answer, "target");
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    var unused = loops.shutdownGracefully(0, 0, SECONDS);
  }

  private void answer() {
    byte[] body = new byte[RESPONSE_BYTES];
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
    try (Socket socket = server.accept();
        OutputStream output = socket.getOutputStream()) {
      readRequest(socket);
      output.write(head.getBytes(StandardCharsets.UTF_8));
      output.write(body);
    } catch (IOException e) {
      ended.completeExceptionally(e);
    }
  }

  private static void readRequest(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      line = reader.readLine();
    }
  }

  @Test
  void should_read_a_long_response_in_small_parts_so_that_other_work_comes_between() {
    TargetConnectionPool pool =
        new TargetConnectionPool(
            loop,
            new PlainProtocol(),
            UnexpectedBytesListener.none(),
            ConnectionReuseListener.none(),
            InstantSource.system());
    InetSocketAddress address =
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort());

    loop.execute(() -> pool.open(address, this::send, ended::completeExceptionally));
    loop.execute(this::countPass);
    ended.orTimeout(30, SECONDS).join();

    assertTrue(mostBytesInPass <= MAX_BYTES_PER_PASS, "read at once: " + mostBytesInPass);
  }

  /** Runs at least once in each pass of the event loop. */
  private void countPass() {
    mostBytesInPass = Math.max(mostBytesInPass, bytesInPass);
    bytesInPass = 0;
    if (!ended.isDone()) {
      loop.execute(this::countPass);
    }
  }

  private void send(TargetConnection connection) {
    connection.send(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), "", new Counter());
  }

  private final class Counter implements TargetConnection.ResponseListener {

    @Override
    public void onNotice(TargetNotice notice) {}

    @Override
    public void onHead(HttpResponse head, TargetResponse response) {}

    @Override
    public void onContent(ByteBuf bytes) {
      bytesInPass += bytes.readableBytes();
    }

    @Override
    public void onComplete() {
      ended.complete(null);
    }

    @Override
    public void onFailure(String cause) {
      ended.completeExceptionally(new IOException(cause));
    }
  }

  /** A protocol that takes every response for a success without an id. */
  private static final class PlainProtocol implements RelayProtocol {

    @Override
    public RelayRequest readRequest(HttpRequest head, Instant now) {
      throw new UnsupportedOperationException();
    }

    @Override
    public HttpHeaders targetHeaders(HttpHeaders fromCaller, ForwardedRequest request) {
      throw new UnsupportedOperationException();
    }

    @Override
    public TargetResponse readResponse(HttpResponse head) {
      return new TargetResponse(
          Optional.empty(), TargetResponse.Verdict.SUCCEEDED, TargetNotice.none());
    }

    @Override
    public Optional<String> receipt(HttpHeaders fromTarget) {
      return Optional.empty();
    }

    @Override
    public HttpHeaders callerHeaders(HttpHeaders fromTarget) {
      return fromTarget;
    }

    @Override
    public HttpHeaders errorHeaders(RelayRequest request, ServingException error) {
      throw new UnsupportedOperationException();
    }
  }
}
