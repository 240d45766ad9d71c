import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that opens a channel for each request. */
final class Caller {

  private static final int CONNECT_MILLIS = 1000;

  private Caller() {}

  /** What a client saw: the status, or 0 if no answer came, and the whole text behind the head. */
  static final class Answer {
    final int status;
    final String head;
    final String body;

    Answer(int status, String head, String body) {
      this.status = status;
      this.head = head;
      this.body = body;
    }
  }

  /** Sends one request and reads until the channel ends. */
  static Answer send(
      String front,
      String method,
      String host,
      String path,
      Map<String, String> headers,
      String body,
      int timeoutMillis) {
    int colon = front.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              front.substring(0, colon), Integer.parseInt(front.substring(colon + 1))),
          CONNECT_MILLIS);
      socket.setSoTimeout(timeoutMillis);
      StringBuilder text =
          new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
      headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
      text.append("Connection: close\r\nContent-Length: ").append(body.length()).append("\r\n\r\n");
      socket
          .getOutputStream()
          .write(text.append(body).toString().getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      return read(socket);
    } catch (IOException e) {
      return new Answer(0, "", e.toString());
    }
  }

  private static Answer read(Socket socket) throws IOException {
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    String first = reader.readLine();
    if (first == null) {
      return new Answer(0, "", "closed without an answer");
    }
    StringBuilder head = new StringBuilder(first).append('\n');
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      head.append(line).append('\n');
      line = reader.readLine();
    }
    StringBuilder body = new StringBuilder();
    char[] buffer = new char[4096];
    int count = reader.read(buffer);
    while (count >= 0) {
      body.append(buffer, 0, count);
      count = reader.read(buffer);
    }
    return new Answer(Integer.parseInt(first.split(" ")[1]), head.toString(), body.toString());
  }
}
