package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;

/**
 * A worker answers a request with a long body before it has read the body, as it may. Its answer
 * has no length. In the middle of the answer the worker crashes, which resets the channel.
 */
final class ResetAnswer {

  private static final String KEY = "jnbanfqasnmgkcuyj8pj";
  private static final String PATH = "/puxa400/2f";
  private static final String FIRST_HALF = "x".repeat(400);
  private static final String SECOND_HALF = "y".repeat(400);
  private static final String WHOLE = FIRST_HALF + SECOND_HALF;

  /** Below {@code max_body_bytes} of the manifest, 4,194,304. */
  private static final int BODY_BYTES = 4_000_000;

  private static final int REQUESTS = 3;
  private static final long ANSWER_MILLIS = 300;
  private static final double SECONDS = 20;

  private ResetAnswer() {}

  public static void main(String[] args) {
    Case.run(args, ResetAnswer::isBroken);
  }

  private static boolean isBroken(Record record, boolean hasTrouble)
      throws IOException, Case.NotRunException {
    try (Installation installation = Installation.start(record, 1);
        Worker worker = application(record, installation, hasTrouble)) {
      Operator operator = new Operator(record, installation);
      String manifest =
          Manifests.manifest(
              1,
              List.of(Manifests.route("r-js2eek2", "/puxa400/", "unsafe", 8000)),
              List.of(Manifests.tenant("bozi300", KEY)));
      if (operator.put(1, manifest, SECONDS) != 200) {
        throw new Case.NotRunException("the manifest was not confirmed");
      }
      Client client = new Client(record, installation.front(0).front());
      client.awaitServed(installation, PATH, KEY, Map.of(), SECONDS);
      boolean isBroken = false;
      for (int i = 0; i < REQUESTS; i++) {
        Http.Message answer =
            client.send("POST", PATH, KEY, Map.of(), new byte[BODY_BYTES]).message();
        if (!hasTrouble && answer.status() != 200) {
          throw new Case.NotRunException("a request failed without trouble");
        }
        isBroken |= answer.status() == 200 && !answer.text().equals(WHOLE);
      }
      return isBroken;
    }
  }

  private static Worker application(Record record, Installation installation, boolean hasTrouble)
      throws IOException {
    return new Worker(
        record,
        installation,
        "i-7f3a91c2",
        Manifests.APPLICATION,
        "",
        (worker, socket, input) -> {
          while (serve(record, worker, socket, input, hasTrouble)) {}
        });
  }

  /** Serves one request; returns whether the channel is kept. */
  private static boolean serve(
      Record record, Worker worker, Socket socket, InputStream input, boolean hasTrouble)
      throws IOException {
    Http.Message request = Http.readHead(input);
    OutputStream output = socket.getOutputStream();
    int length = Integer.parseInt(request.header("Content-Length"));
    worker.recordRun(request);
    if (length < BODY_BYTES) {
      input.readNBytes(length);
      output.write(Worker.answer(request, WHOLE));
      return true;
    }
    output.write(Installation.bytes(Worker.head(request) + "Connection: close\r\n\r\n" + FIRST_HALF));
    Installation.sleep(ANSWER_MILLIS);
    if (hasTrouble) {
      record.add("%s crashes in the middle of its answer: the channel is reset", worker.id());
      socket.setSoLinger(true, 0);
      return false;
    }
    output.write(Installation.bytes(SECOND_HALF));
    input.readNBytes(length);
    record.add("%s has sent its whole answer and read the body; it closes", worker.id());
    return false;
  }
}
