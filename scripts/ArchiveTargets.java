import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * Targets for the run that writes the class-data archive: /r/ answers by a stream, /p/ by a plain
 * response, and /b/ breaks off. Run as {@code java scripts/ArchiveTargets.java HOST PORT...}.
 */
final class ArchiveTargets {

  private ArchiveTargets() {}

  public static void main(String[] args) throws IOException {
    for (int i = 1; i < args.length; i++) {
      start(new InetSocketAddress(args[0], Integer.parseInt(args[i])));
    }
  }

  private static void start(InetSocketAddress address) throws IOException {
    HttpServer server = HttpServer.create(address, 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/r/", ArchiveTargets::stream);
    server.createContext("/p/", ArchiveTargets::answer);
    server.createContext("/b/", HttpExchange::close);
    server.start();
  }

  private static void begin(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
    exchange.getResponseHeaders().set("X-Request-Id", id);
    exchange.getResponseHeaders().set("X-Server-Stamp", "stamp");
  }

  private static void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      begin(exchange);
      byte[] body = "done".getBytes(StandardCharsets.US_ASCII);
      exchange.sendResponseHeaders(200, body.length);
      exchange.getResponseBody().write(body);
    }
  }

  private static void stream(HttpExchange exchange) throws IOException {
    try (exchange) {
      begin(exchange);
      exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
      exchange.sendResponseHeaders(200, 0);
      OutputStream output = exchange.getResponseBody();
      for (int i = 1; i <= 4; i++) {
        output.write(("id: " + i + "\ndata: piece\n\n").getBytes(StandardCharsets.US_ASCII));
        output.flush();
      }
    }
  }
}
