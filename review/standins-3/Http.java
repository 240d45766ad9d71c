import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Just enough of HTTP/1.1 for stand-ins: heads, bodies with a length, chunked bodies. */
final class Http {

  private Http() {}

  /** A head and a body; header names are in lower case. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads a whole message; throws EOFException if the connection ends before it is complete. */
  static Message read(InputStream in) throws IOException {
    String first = readLine(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Message(first, headers, readBody(in, headers));
  }

  private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        body.write(readExactly(in, size));
        readLine(in);
      }
      readLine(in);
    } else {
      body.write(readExactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
    }
    return body.toByteArray();
  }

  private static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
  }

  private static byte[] readExactly(InputStream in, int count) throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended within a head");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Sends one request on a new connection and returns the answer. */
  static Message call(String address, String head, byte[] body, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      int colon = address.lastIndexOf(':');
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          Math.min(1000, timeoutMillis));
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(
          (head + "Content-Length: " + body.length + "\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      request.write(body);
      socket.getOutputStream().write(request.toByteArray());
      return read(new java.io.BufferedInputStream(socket.getInputStream()));
    }
  }
}
