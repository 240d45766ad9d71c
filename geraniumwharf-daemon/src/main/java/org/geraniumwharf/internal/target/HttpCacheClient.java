package org.geraniumwharf.internal.target;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.geraniumwharf.routing.RoutableTarget;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.targets.CacheEvents;
import org.geraniumwharf.schema.targets.ExportOrder;
import org.geraniumwharf.schema.targets.ImportOrder;
import org.geraniumwharf.schema.targets.KeptLookup;
import org.geraniumwharf.schema.targets.KeptLookupAnswer;
import org.geraniumwharf.schema.targets.KeptObject;

/**
 * Look-ups and transfers over HTTP. Every call may fail without harm: the context is recomputed.
 */
public final class HttpCacheClient implements StoreClient, CacheTransferClient, CacheEventClient {

  private static final MediaType JSON = MediaType.get("application/json");

  private static final int MAX_ANSWER_BYTES = 4 << 20;

  private final OkHttpClient http;

  private HttpCacheClient(OkHttpClient http) {
    this.http = http;
  }

  public static HttpCacheClient create() {
    return new HttpCacheClient(
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .connectTimeout(Duration.ofMillis(250))
            .socketFactory(new EndCheckingSocketFactory())
            .addNetworkInterceptor(new ResponseHeadCheck())
            .build());
  }

  @Override
  public List<KeptObject> lookUp(String store, String address, KeptLookup lookup, Duration timeout)
      throws TargetCallException {
    byte[] answer = post(store, address + "/lookup", lookup, timeout);
    try {
      return Codec.json().decode(answer, KeptLookupAnswer.class).objects();
    } catch (IOException e) {
      throw TargetCallException.unclear(store, "its look-up answer is unreadable");
    }
  }

  @Override
  public void exportTo(RoutableTarget engine, ExportOrder order, Duration timeout)
      throws TargetCallException {
    post(engine.id(), engine.address() + "/cache/export", order, timeout);
  }

  @Override
  public void importFrom(RoutableTarget engine, ImportOrder order, Duration timeout)
      throws TargetCallException {
    post(engine.id(), engine.address() + "/cache/import", order, timeout);
  }

  @Override
  public CacheEvents cacheEvents(RoutableTarget engine, long from, Duration timeout)
      throws TargetCallException {
    Request request =
        new Request.Builder().url(engine.address() + "/cache/events?from=" + from).build();
    try {
      return Codec.json().decode(send(engine.id(), request, timeout), CacheEvents.class);
    } catch (IOException e) {
      throw TargetCallException.unclear(engine.id(), "its cache events are unreadable");
    }
  }

  private byte[] post(String target, String url, Object body, Duration timeout)
      throws TargetCallException {
    Request request =
        new Request.Builder()
            .url(url)
            .post(RequestBody.create(Codec.json().encode(body), JSON))
            .build();
    return send(target, request, timeout);
  }

  private byte[] send(String target, Request request, Duration timeout) throws TargetCallException {
    OkHttpClient bounded = http.newBuilder().callTimeout(timeout).readTimeout(timeout).build();
    try (Response response = bounded.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        throw TargetCallException.unclear(target, "it answered " + response.code());
      }
      return BoundedBodies.read(response, target, MAX_ANSWER_BYTES);
    } catch (IOException e) {
      throw TargetCallException.unclear(
          target, e.getClass().getSimpleName() + ": " + e.getMessage());
    }
  }
}
