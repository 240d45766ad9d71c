package org.geraniumwharf.internal.testing;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.geraniumwharf.internal.target.TargetHeaders;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.Capabilities;
import org.geraniumwharf.schema.targets.ChunkHints;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.ExportOrder;
import org.geraniumwharf.schema.targets.GenerationHints;
import org.geraniumwharf.schema.targets.ImportOrder;
import org.geraniumwharf.schema.targets.LoadReport;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.TargetKind;
import org.geraniumwharf.schema.targets.WeightOrder;

/**
 * A model engine: one context is computed at a time, a batch of slots generates, prefixes are
 * cached in bounded memory. Its words are a function of the context, so that a crossed answer
 * shows.
 */
final class EngineStandIn extends StandIn {

  private static final String JSON = "application/json";
  private static final int DEFAULT_TOKENS = 16;
  private static final long LOAD_LAG_MILLIS = 500;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final PieceCache cache;
  private final PrioritySlots slots;
  private final PrioritySlots prefill = new PrioritySlots(1);
  private final Set<String> loaded = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicLong queuedTokens = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final AtomicLong contextTokens = new AtomicLong();
  private final AtomicLong computedTokens = new AtomicLong();
  private final AtomicLong runs = new AtomicLong();
  private final AtomicLong reports = new AtomicLong();
  private final OrderBook orders;
  private final OkHttpClient http = new OkHttpClient();
  private final ScheduledExecutorService reporter = Executors.newSingleThreadScheduledExecutor();
  private volatile LoadReport laggingReport = LoadReport.of(0, 0, 0, 0, 0);
  private volatile long toldEvents;
  private volatile double slowdown = 1;
  private volatile boolean isFailing;

  EngineStandIn(StandInOptions options) {
    super(options);
    cache = new PieceCache(options.number("cache-pieces", 1000));
    slots = new PrioritySlots(options.number("slots", 16));
    loaded.addAll(options.list("versions"));
    orders =
        new OrderBook(
            options.flag("fencing", true),
            order -> order.load() ? load(order) : unload(order),
            this::changed);
    var unused =
        reporter.scheduleAtFixedRate(
            this::report, LOAD_LAG_MILLIS, LOAD_LAG_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void report() {
    laggingReport =
        LoadReport.of(
            running.get(),
            slots.waiting(),
            queuedTokens.get(),
            reports.incrementAndGet(),
            runs.get());
    toldEvents = cache.sequence();
  }

  @Override
  TargetKind kind() {
    return TargetKind.ENGINE;
  }

  @Override
  Announcement describe(Announcement bare) {
    StandInOptions options = options();
    return bare.withLoaded(
            loaded.stream().sorted().map(name -> LoadedWeights.of(name, List.of())).toList())
        .withCapabilities(
            Optional.of(Capabilities.of(options.flag("fencing", true), true, true, true, true)))
        .withProfile(
            Optional.of(
                EngineProfile.of(
                    options.number("slots", 16),
                    options.number("prefill-rate", 20_000),
                    options.number("decode-rate", 100),
                    options.number("max-loaded", 1))))
        .withOrder(orders.progress());
  }

  @Override
  void ordered(WeightOrder order) {
    orders.take(order);
  }

  private boolean load(WeightOrder order) {
    order.replaces().forEach(loaded::remove);
    changed();
    boolean isRefused = options().list("refuse-versions").contains(order.modelVersion());
    String url = options().text("weights") + "/loads/" + order.modelVersion();
    boolean isLoaded = !isRefused && send(post(url, "")) == 200;
    if (isLoaded) {
      loaded.add(order.modelVersion());
    }
    return isLoaded;
  }

  private boolean unload(WeightOrder order) {
    loaded.remove(order.modelVersion());
    return true;
  }

  @Override
  void addRoutes(JavalinConfig config) {
    for (String path : List.of("/v1/chat/completions", "/v1/completions")) {
      boolean isChat = path.contains("chat");
      config.routes.post(path, context -> serve(context, work -> generate(work, isChat)));
    }
    config.routes.get("/load", context -> json(context, laggingReport));
    config.routes.get(
        "/cache/events",
        context -> json(context, cache.events(longParameter(context, "from"), toldEvents)));
    config.routes.post("/cache/export", context -> serve(context, this::export));
    config.routes.post("/cache/import", context -> serve(context, this::importPieces));
    config.routes.get("/test/orders", context -> json(context, orders.carriedOut()));
    config.routes.post("/test/evict", context -> cache.clear());
    config.routes.post(
        "/test/slow", context -> slowdown = Double.parseDouble(context.queryParam("factor")));
    config.routes.post(
        "/test/fail", context -> isFailing = Boolean.parseBoolean(context.queryParam("on")));
    config.routes.get(
        "/test/counters",
        context ->
            context.result(
                String.format(
                    "{\"cancelled\":%d,\"cached\":%d,\"context\":%d,\"computed\":%d,\"runs\":%d}",
                    cancelled.get(),
                    cache.size(),
                    contextTokens.get(),
                    computedTokens.get(),
                    runs.get())));
  }

  private static long longParameter(Context context, String name) {
    return Long.parseLong(Optional.ofNullable(context.queryParam(name)).orElse("0"));
  }

  private static void json(Context context, Object value) {
    context.contentType(JSON);
    context.result(Codec.json().encode(value));
  }

  private void generate(Context context, boolean isChat) {
    try {
      ObjectNode body = (ObjectNode) Codec.json().parse(context.bodyAsBytes());
      GenerationHints hints =
          Codec.json().convert(body.path("geraniumwharf"), GenerationHints.class);
      if (isFailing) {
        runs.incrementAndGet();
        context.status(500);
        return;
      }
      if (!loaded.contains(body.path("model").asText())) {
        context.status(503);
        context.header(TargetHeaders.RUN, TargetHeaders.NOT_RUN);
        return;
      }
      context.header(TargetHeaders.LOAD, Codec.json().encodeText(laggingReport));
      run(new Generation(context, isChat, body, hints));
    } catch (IOException e) {
      cancelled.incrementAndGet();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private record Generation(
      Context context, boolean isChat, ObjectNode body, GenerationHints hints) {

    int tokens() {
      return body.path("max_tokens").asInt(DEFAULT_TOKENS);
    }

    /** The word at a position depends on the context and the position only. */
    String word(int position) {
      String text = body.path("messages").toString() + body.path("prompt").toString();
      int mixed = (text.hashCode() * 31 + position) * 0x9E3779B1;
      return "w" + Integer.toHexString(mixed >>> 12) + " ";
    }
  }

  private void run(Generation generation) throws IOException, InterruptedException {
    int priority = generation.hints().priority();
    runs.incrementAndGet();
    slots.acquire(priority);
    running.incrementAndGet();
    try {
      computeContext(generation, priority);
      if (generation.body().path("stream").asBoolean()) {
        stream(generation);
      } else {
        whole(generation);
      }
    } finally {
      running.decrementAndGet();
      slots.release();
    }
  }

  private void computeContext(Generation generation, int priority) throws InterruptedException {
    GenerationHints hints = generation.hints();
    int pieceTokens = options().number("piece-tokens", 16);
    int missing = Math.max(1, hints.contextTokens() - cache.matched(hints.pieces()) * pieceTokens);
    queuedTokens.addAndGet(missing);
    contextTokens.addAndGet(hints.contextTokens());
    computedTokens.addAndGet(missing);
    prefill.acquire(priority);
    try {
      Waiting.millis(missing * 1000.0 * slowdown / options().number("prefill-rate", 20_000));
      cache.store(hints.pieces());
    } finally {
      prefill.release();
      queuedTokens.addAndGet(-missing);
    }
  }

  private void decodeOne() {
    Waiting.millis(1000.0 * slowdown / options().number("decode-rate", 100));
  }

  private void stream(Generation generation) throws IOException {
    Context context = generation.context();
    context.contentType("text/event-stream");
    OutputStream output = context.res().getOutputStream();
    int total = generation.tokens();
    for (int i = generation.hints().resumeFrom(); i < total; i++) {
      decodeOne();
      write(output, chunk(generation, i, generation.word(i), false));
    }
    write(output, chunk(generation, total, "", true));
    output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private static void write(OutputStream output, ObjectNode chunk) throws IOException {
    output.write(
        ("data: " + Codec.json().encodeText(chunk) + "\n\n").getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  private ObjectNode chunk(Generation generation, int offset, String word, boolean isLast) {
    ObjectNode chunk = answer(generation, offset);
    chunk.put("object", generation.isChat() ? "chat.completion.chunk" : "text_completion");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    if (generation.isChat()) {
      ObjectNode delta = choice.putObject("delta");
      if (!isLast) {
        delta.put("role", "assistant").put("content", word);
      }
    } else {
      choice.put("text", word);
    }
    choice.put("finish_reason", isLast ? "length" : null);
    return chunk;
  }

  private void whole(Generation generation) {
    int total = generation.tokens();
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < total; i++) {
      decodeOne();
      text.append(generation.word(i));
    }
    ObjectNode answer = answer(generation, 0);
    answer.put("object", generation.isChat() ? "chat.completion" : "text_completion");
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    if (generation.isChat()) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.put("finish_reason", "length");
    answer
        .putObject("usage")
        .put("prompt_tokens", generation.hints().contextTokens())
        .put("completion_tokens", total)
        .put("total_tokens", generation.hints().contextTokens() + total);
    json(generation.context(), answer);
  }

  private static ObjectNode answer(Generation generation, int offset) {
    ObjectNode answer = generation.body().objectNode();
    answer.put("id", "engine-" + generation.hints().attempt());
    answer.put("created", 0);
    answer.put("model", generation.body().path("model").asText());
    answer.set(
        "geraniumwharf", Codec.json().toTree(ChunkHints.of(generation.hints().attempt(), offset)));
    return answer;
  }

  /** Writes the leading pieces it holds, all or none, then seals. */
  private void export(Context context) {
    ExportOrder order = parse(context, ExportOrder.class);
    if (cache.matched(order.names()) < order.names().size()) {
      context.status(CONFLICT);
      return;
    }
    byte[] bytes = String.join(",", order.names()).getBytes(StandardCharsets.UTF_8);
    String url = order.store() + "/objects/" + order.object().key();
    Request write =
        new Request.Builder()
            .url(url)
            .header("Object-Bytes", String.valueOf(order.object().bytes()))
            .put(RequestBody.create(bytes, null))
            .build();
    int status = send(write);
    context.status(status == 200 ? send(post(url + "/seal", order.object())) : status);
  }

  /** Pins, reads, verifies that the bytes are those pieces, unpins. */
  private void importPieces(Context context) {
    ImportOrder order = parse(context, ImportOrder.class);
    String url = order.store() + "/objects/" + order.key();
    int pinned = send(post(url + "/pin", ""));
    if (pinned != 200) {
      context.status(pinned);
      return;
    }
    try (Response response = http.newCall(new Request.Builder().url(url).build()).execute()) {
      if (response.body().string().equals(String.join(",", order.names()))) {
        cache.store(order.names());
      } else {
        context.status(CONFLICT);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      send(new Request.Builder().url(url + "/pin").delete().build());
    }
  }

  private static Request post(String url, Object body) {
    return new Request.Builder()
        .url(url)
        .post(RequestBody.create(Codec.json().encode(body), null))
        .build();
  }

  private int send(Request request) {
    try (Response response = http.newCall(request).execute()) {
      return response.code();
    } catch (IOException e) {
      return NOT_FOUND;
    }
  }

  private static <T> T parse(Context context, Class<T> type) {
    try {
      return Codec.json().decode(context.bodyAsBytes(), type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
