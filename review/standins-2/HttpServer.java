import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server over plain sockets, with a thread for each connection. */
final class HttpServer implements AutoCloseable {

  private static final int BACKLOG = 256;
  private static final int CHUNK_RADIX = 16;

  private final InetSocketAddress address;
  private final Handler handler;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  /** Answers a request; the connection is kept if it returns true. */
  interface Handler {
    boolean handle(Request request, OutputStream output) throws IOException, InterruptedException;
  }

  /** A whole request; the names of its headers are in lower case. */
  static final class Request {
    final String method;
    final String target;
    final Map<String, String> headers;
    final String body;

    Request(String method, String target, Map<String, String> headers, String body) {
      this.method = method;
      this.target = target;
      this.headers = headers;
      this.body = body;
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    /** Returns a parameter of the query; empty if it is missing. */
    String parameter(String name) {
      int query = target.indexOf('?');
      for (String pair : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return pair.substring(name.length() + 1);
        }
      }
      return "";
    }
  }

  HttpServer(String address, Handler handler) {
    int colon = address.lastIndexOf(':');
    this.address =
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    this.handler = handler;
  }

  /** Starts to listen. */
  void open() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(address, BACKLOG);
    server = opened;
    thread("accept", () -> acceptAll(opened));
  }

  private void acceptAll(ServerSocket opened) {
    while (!opened.isClosed()) {
      try {
        Socket socket = opened.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        thread("connection", () -> serve(socket));
      } catch (IOException e) {
        // Closed, or the next connection is accepted.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      boolean isKept = true;
      while (isKept) {
        isKept = handler.handle(read(input), output);
      }
    } catch (IOException e) {
      // The other side has gone.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private static Request read(InputStream input) throws IOException {
    String[] first = line(input).split(" ");
    if (first.length != 3) {
      throw new IOException("no request line");
    }
    Map<String, String> headers = new LinkedHashMap<>();
    String line = line(input);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      line = line(input);
    }
    return new Request(first[0], first[1], headers, body(headers, input));
  }

  private static String body(Map<String, String> headers, InputStream input) throws IOException {
    if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      return new String(input.readNBytes(length), StandardCharsets.ISO_8859_1);
    }
    if (!headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
      return "";
    }
    StringBuilder body = new StringBuilder();
    int size = Integer.parseInt(line(input), CHUNK_RADIX);
    while (size > 0) {
      body.append(new String(input.readNBytes(size), StandardCharsets.ISO_8859_1));
      line(input);
      size = Integer.parseInt(line(input), CHUNK_RADIX);
    }
    line(input);
    return body.toString();
  }

  private static String line(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException();
      }
      line.write(next);
      next = input.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
  }

  /** Writes a whole answer. */
  static void answer(OutputStream output, int status, Map<String, String> headers, String body)
      throws IOException {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    output.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  static Thread thread(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Ends as a process that crashes: the listener and every connection close at once. */
  @Override
  public void close() throws IOException {
    ServerSocket opened = server;
    if (opened != null) {
      opened.close();
    }
    for (Socket socket : sockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }
}
