package org.geraniumwharf.internal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.geraniumwharf.error.ServingErrors;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.callers.ErrorAnswer;
import org.junit.jupiter.api.Test;

class ErrorBodiesTest {

  /** Guards against a body that differs from the schema by which callers read it. */
  @Test
  void should_write_what_the_schema_defines() throws IOException {
    List<ServingException> errors =
        List.of(
            ServingErrors.invalidField("limits \"a\\b\"", "line\nend ü\u0001"),
            ServingErrors.notReady("no view"),
            ServingErrors.notFound("/x/\u2028"));

    for (ServingException error : errors) {
      byte[] body = ErrorBodies.encode("id-\"1\"", error);

      ErrorAnswer read = Codec.json().decode(body, ErrorAnswer.class);
      assertEquals(
          new String(Codec.json().encode(read), StandardCharsets.UTF_8),
          new String(body, StandardCharsets.UTF_8));
      assertEquals(error.kind().wireName(), read.error().code());
      assertEquals(error.field().filter(field -> !field.isEmpty()), read.error().param());
      assertEquals("id-\"1\"", read.error().requestId());
    }
  }
}
