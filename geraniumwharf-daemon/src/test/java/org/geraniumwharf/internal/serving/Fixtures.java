package org.geraniumwharf.internal.serving;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.internal.fleet.FleetFixtures;
import org.geraniumwharf.internal.fleet.FleetViewHolder;
import org.geraniumwharf.schema.objects.Deployment;
import org.geraniumwharf.schema.objects.Model;
import org.geraniumwharf.schema.objects.ModelVersion;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.Route;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.Capabilities;
import org.geraniumwharf.schema.targets.EngineProfile;
import org.geraniumwharf.schema.targets.LoadedWeights;
import org.geraniumwharf.schema.targets.TargetKind;

/** A small configuration and fleet for tests. */
final class Fixtures {

  static final Instant NOW = Instant.ofEpochSecond(1000);
  static final Organisation ORGANISATION =
      Organisation.of(
          "wanjiru",
          List.of(),
          List.of("quotes"),
          1,
          Optional.empty(),
          List.of(),
          Optional.empty(),
          false,
          List.of());
  static final Route ROUTE =
      Route.of(
          "quotes",
          Optional.of("drafting"),
          Optional.empty(),
          Optional.empty(),
          true,
          60_000,
          Optional.empty(),
          100);

  private Fixtures() {}

  static FleetViewHolder fleet(int engines, int stores) {
    List<TargetRecord> targets = new ArrayList<>();
    for (int i = 1; i <= engines; i++) {
      targets.add(target("engine-" + i, TargetKind.ENGINE));
    }
    for (int i = 1; i <= stores; i++) {
      targets.add(target("store-" + i, TargetKind.STORE));
    }
    return FleetFixtures.holder(objects(), targets, NOW);
  }

  private static List<PublishedObject> objects() {
    return List.of(
        ORGANISATION,
        ROUTE,
        Model.of("drafter", 16, 4, 16_384),
        ModelVersion.of("drafter-v1", "drafter", "weights", "0".repeat(16)),
        Deployment.of("drafting", "drafter-v1", List.of(), 1, 10, List.of(), Optional.empty()));
  }

  private static TargetRecord target(String id, TargetKind kind) {
    return TargetRecord.of(
        Announcement.of(
            id,
            1,
            1,
            "http://127.0.0.1:9",
            "dc-1",
            kind,
            Optional.empty(),
            Optional.empty(),
            List.of(LoadedWeights.of("drafter-v1", List.of())),
            Optional.of(Capabilities.of(true, true, true, true, true)),
            Optional.of(EngineProfile.of(8, 20_000, 100, 1)),
            false,
            Optional.empty(),
            0,
            0),
        false,
        Optional.empty());
  }

  static RequestContext request(FleetViewHolder fleet) {
    return RequestContext.of("req-1", ORGANISATION, ROUTE, fleet.current(), NOW);
  }

  static CompletionRequest completion(int tokens) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", "quotes").put("prompt", "abc ".repeat(tokens)).put("stream", true);
    return CompletionRequest.of(
        CompletionKind.TEXT,
        body,
        body.path("prompt").asText().getBytes(StandardCharsets.UTF_8),
        true,
        10);
  }

  static GenerationPlan plan(FleetViewHolder fleet, int tokens) throws ServingException {
    return GenerationPlan.of(request(fleet), completion(tokens));
  }
}
