package org.geraniumwharf.internal.serving;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.geraniumwharf.configuration.Configuration;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetSnapshot;
import org.geraniumwharf.prefix.PieceName;
import org.geraniumwharf.prefix.PrefixNamer;
import org.geraniumwharf.prefix.PrefixScope;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.targets.GenerationHints;

/** Model version, context pieces and token bounds of a generation, computed from a fleet view. */
final class GenerationPlan {

  private final RequestContext context;
  private final CompletionRequest request;
  private final String modelVersion;
  private final String adapter;
  private final int pieceTokens;
  private final long cacheBytesPerPiece;
  private final int contextTokens;
  private final int outputTokens;
  private final List<PieceName> pieces;

  private GenerationPlan(
      RequestContext context,
      CompletionRequest request,
      String modelVersion,
      String adapter,
      int pieceTokens,
      long cacheBytesPerPiece,
      int contextTokens,
      int outputTokens,
      List<PieceName> pieces) {
    this.context = context;
    this.request = request;
    this.modelVersion = modelVersion;
    this.adapter = adapter;
    this.pieceTokens = pieceTokens;
    this.cacheBytesPerPiece = cacheBytesPerPiece;
    this.contextTokens = contextTokens;
    this.outputTokens = outputTokens;
    this.pieces = pieces;
  }

  /**
   * Plans a request.
   *
   * @throws ServingException if the route has no known deployment
   */
  static GenerationPlan of(RequestContext context, CompletionRequest request)
      throws ServingException {
    return of(context, request, context.fleet());
  }

  private static GenerationPlan of(
      RequestContext context, CompletionRequest request, FleetSnapshot view)
      throws ServingException {
    Configuration configuration = view.configuration();
    Deployment deployment =
        context
            .route()
            .deployment()
            .flatMap(configuration::deployment)
            .orElseThrow(() -> ServingErrors.unknownRoute(context.route().name()));
    String adapter = context.route().adapter().orElse("");
    byte[] text = request.context();
    String versionName = VersionChoice.choose(view, deployment, adapter, text);
    ModelVersion version = configuration.modelVersion(versionName).orElseThrow();
    Model model = configuration.model(version.model()).orElseThrow();
    PrefixScope scope =
        PrefixScope.of(context.organisation().name(), version.name(), version.digest(), adapter);
    int pieceBytes = (int) Math.max(1, model.pieceTokens() * model.bytesPerToken());
    return new GenerationPlan(
        context,
        request,
        version.name(),
        adapter,
        model.pieceTokens(),
        model.pieceTokens() * model.cacheBytesPerToken(),
        (int) Math.max(1, text.length / model.bytesPerToken()),
        outputTokens(context, request),
        PrefixNamer.of(pieceBytes).namePieces(scope, text));
  }

  /**
   * Returns the plan for a later view. It has another model version if the present one has no
   * engine there and the other one has. Call it only before anything is sent to the caller.
   */
  GenerationPlan forView(FleetSnapshot view) throws ServingException {
    if (!view.engines(modelVersion, adapter).isEmpty()) {
      return this;
    }
    GenerationPlan other = of(context, request, view);
    return view.engines(other.modelVersion, adapter).isEmpty() ? this : other;
  }

  private static int outputTokens(RequestContext context, CompletionRequest request) {
    int bound = context.route().maxOutputTokens();
    return request.maxTokens() > 0 ? Math.min(request.maxTokens(), bound) : bound;
  }

  /**
   * Encodes the body for an engine: the caller's body with the model version in place of the route,
   * the output bound and the hints. Values that the caller set for these fields are overwritten.
   */
  byte[] encodeBody(String attempt, int resumeFrom, String resumeText) {
    GenerationHints hints =
        GenerationHints.of(
            attempt, priority(), resumeFrom, resumeText, pieceNames(), contextTokens);
    ObjectNode body = request.body().deepCopy();
    body.put("model", modelVersion);
    body.put("stream", request.isStream());
    body.put("max_tokens", outputTokens);
    body.remove("max_completion_tokens");
    if (!adapter.isEmpty()) {
      body.put("adapter", adapter);
    }
    body.set("geraniumwharf", Codec.json().toTree(hints));
    return Codec.json().encode(body);
  }

  /**
   * Returns the bit length of the cost as priority value, so that engines run short requests first.
   */
  private int priority() {
    return Integer.SIZE - Integer.numberOfLeadingZeros(costTokens());
  }

  /** Returns the expected cost, in tokens. */
  int costTokens() {
    return contextTokens + outputTokens;
  }

  String organisation() {
    return context.organisation().name();
  }

  String modelVersion() {
    return modelVersion;
  }

  String adapter() {
    return adapter;
  }

  int pieceTokens() {
    return pieceTokens;
  }

  int contextTokens() {
    return contextTokens;
  }

  /** Returns the size of {@code count} pieces of kept cache, bytes. */
  long cacheBytes(int count) {
    return count * cacheBytesPerPiece;
  }

  List<String> pieceNames() {
    return pieces.stream().map(PieceName::wireName).toList();
  }

  List<PieceName> pieces() {
    return pieces;
  }
}
