package org.geraniumwharf.configuration;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumwharf.credential.CallerKey;
import org.geraniumwharf.schema.objects.Organisation;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.objects.Route;
import org.junit.jupiter.api.Test;

class ObjectSetReaderTest {

  private final ObjectSetReader reader = ObjectSetReader.create();

  @Test
  void should_read_the_example_objects_without_faults() throws IOException {
    readExamples();

    assertEquals(List.of(), reader.faults());
    assertEquals(11, reader.objects().size());
  }

  @Test
  void should_fill_in_the_defaults_of_the_schema() {
    add("{\"kind\":\"route\",\"name\":\"quotes\",\"deployment\":\"drafting\"}");

    Route route = (Route) reader.objects().get(0);

    assertTrue(route.idempotent());
    assertEquals(60_000, route.timeoutMillis());
  }

  @Test
  void should_list_every_fault_with_file_object_and_field() {
    add("{\"kind\":\"route\",\"name\":\"Bad Name\",\"deployment\":\"d\"}");
    add("[{\"kind\":\"rout\",\"name\":\"x\"}, {\"kind\":\"service\",\"name\":\"s\",\"extra\":1}]");
    add("{\"kind\":\"route\",\"name\":\"both\",\"deployment\":\"none\",\"service\":\"none\"}");
    add("not json");

    List<String> locations =
        reader.faults().stream()
            .map(fault -> fault.source() + " " + fault.object() + " " + fault.field())
            .toList();

    assertEquals(
        List.of(
            "file.json route/Bad Name name",
            "file.json rout/x kind",
            "file.json service/s extra",
            "file.json  ",
            "file.json route/both deployment",
            "file.json route/both deployment",
            "file.json route/both service"),
        locations);
  }

  @Test
  void should_report_a_key_id_that_two_organisations_share() {
    String keys =
        "[{\"id\":\"abcd\",\"salt\":\""
            + "0".repeat(32)
            + "\",\"hash\":\""
            + "0".repeat(64)
            + "\"}]";
    add("{\"kind\":\"organisation\",\"name\":\"one\",\"keys\":" + keys + "}");
    add("{\"kind\":\"organisation\",\"name\":\"two\",\"keys\":" + keys + "}");

    assertEquals("keys[0].id", reader.faults().get(0).field());
  }

  @Test
  void should_authenticate_with_the_right_secret_only() throws IOException {
    readExamples();
    Configuration configuration = Configuration.of(1, reader.objects());
    CallerKey key =
        CallerKey.parse("gw-ab05658099d1b67a-1f6d2dc7e64f506aa7ac80e9f1cceb521b391ab1116c6a9e")
            .orElseThrow();

    List<String> right = configuration.authenticate(key).map(Organisation::name).stream().toList();
    boolean isWrongAccepted =
        configuration.authenticate(new CallerKey(key.id(), "0".repeat(48))).isPresent();

    assertEquals(List.of("wanjiru-quotes"), right);
    assertEquals(false, isWrongAccepted);
  }

  @Test
  void should_compute_the_same_digest_for_any_order() throws IOException {
    readExamples();
    List<PublishedObject> reversed = new ArrayList<>(reader.objects());
    Collections.reverse(reversed);

    String digest = Configuration.digestOf(reversed);

    assertEquals(Configuration.digestOf(reader.objects()), digest);
  }

  private void add(String document) {
    reader.add("file.json", document.getBytes(UTF_8));
  }

  private void readExamples() throws IOException {
    try (Stream<Path> files = Files.list(Path.of("..", "examples", "objects"))) {
      for (Path file : files.sorted().toList()) {
        reader.add(file.getFileName().toString(), Files.readAllBytes(file));
      }
    }
  }
}
