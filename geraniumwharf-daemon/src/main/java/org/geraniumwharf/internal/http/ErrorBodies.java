package org.geraniumwharf.internal.http;

import org.geraniumwharf.error.ErrorKind;
import org.geraniumwharf.error.ServingException;
import org.geraniumwharf.schema.Codec;
import org.geraniumwharf.schema.callers.ErrorAnswer;
import org.geraniumwharf.schema.callers.ErrorBody;

/** The body of every error answer, whichever server writes it. */
public final class ErrorBodies {

  private ErrorBodies() {}

  /** Encodes an error in the shape that OpenAI clients expect. */
  public static byte[] encode(String requestId, ServingException error) {
    ErrorKind kind = error.kind();
    return Codec.json()
        .encode(
            ErrorAnswer.of(
                ErrorBody.of(
                    error.getMessage() + ". " + kind.advice(),
                    kind.type().wireName(),
                    kind.wireName(),
                    error.field().filter(field -> !field.isEmpty()),
                    error.execution().wireName(),
                    requestId)));
  }
}
