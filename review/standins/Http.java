package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets, as clients, workers and operators of the platform speak it. */
final class Http {

  private static final int CONNECT_MILLIS = 1000;

  private Http() {}

  /** A whole message: the first line, the headers by lower-case name, and the body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String path() {
      return firstLine.split(" ")[1];
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Sends one request over a new connection and returns the whole answer. */
  static Message call(
      InetSocketAddress to,
      String method,
      String path,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(to, CONNECT_MILLIS);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      write(socket.getOutputStream(), method, path, headers, body);
      return readAnswer(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static void write(
      OutputStream output, String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.writeBytes(head.toString().getBytes(StandardCharsets.UTF_8));
    whole.writeBytes(body);
    output.write(whole.toByteArray());
    output.flush();
  }

  /** Reads an answer with a length, in chunks, or up to the end of its connection. */
  static Message readAnswer(InputStream input) throws IOException {
    Message head = readHead(input);
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      return new Message(head.firstLine(), head.headers(), readChunks(input));
    }
    if (head.header("Content-Length").isEmpty()) {
      return new Message(head.firstLine(), head.headers(), input.readAllBytes());
    }
    return new Message(head.firstLine(), head.headers(), readBody(input, head));
  }

  /** Reads a request with a length. */
  static Message readRequest(InputStream input) throws IOException {
    Message head = readHead(input);
    return new Message(head.firstLine(), head.headers(), readBody(input, head));
  }

  /** Reads the first line and the headers. */
  static Message readHead(InputStream input) throws IOException {
    String first = readLine(input);
    Map<String, String> headers = new LinkedHashMap<>();
    String line = readLine(input);
    while (!line.isEmpty()) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      line = readLine(input);
    }
    return new Message(first, headers, new byte[0]);
  }

  private static byte[] readBody(InputStream input, Message head) throws IOException {
    String length = head.header("Content-Length");
    int expected = length.isEmpty() ? 0 : Integer.parseInt(length);
    byte[] body = input.readNBytes(expected);
    if (body.length < expected) {
      throw new EOFException("the connection ended after " + body.length + " of " + expected);
    }
    return body;
  }

  private static byte[] readChunks(InputStream input) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(readLine(input).strip(), 16);
      byte[] chunk = input.readNBytes(size);
      if (chunk.length < size) {
        throw new EOFException("the connection ended within a chunk");
      }
      body.writeBytes(chunk);
      readLine(input);
      if (size == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = input.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = input.read();
    }
    return line.toString(StandardCharsets.UTF_8);
  }
}
