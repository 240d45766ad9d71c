package org.geraniumwharf.prefix;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import org.geraniumwharf.internal.checks.Checks;

/**
 * Splits a context into pieces of fixed size and names each by a hash chain. A partial last piece
 * has no name.
 *
 * <pre>{@code
 * List<PieceName> names = PrefixNamer.of(64).namePieces(scope, context);
 * }</pre>
 */
public final class PrefixNamer {

  private static final int NAME_BYTES = 16;

  private final int pieceBytes;

  private PrefixNamer(int pieceBytes) {
    this.pieceBytes = pieceBytes;
  }

  /**
   * Returns a namer for one piece size.
   *
   * @param pieceBytes bytes of context in one piece
   */
  public static PrefixNamer of(int pieceBytes) {
    return new PrefixNamer(Checks.checkPositive(pieceBytes, "pieceBytes"));
  }

  /** Returns the names of the full pieces of a context, in order. */
  public List<PieceName> namePieces(PrefixScope scope, byte[] context) {
    int count = context.length / pieceBytes;
    List<PieceName> names = new ArrayList<>(count);
    MessageDigest digest = sha256();
    byte[] previous = seed(digest, scope);
    for (int i = 0; i < count; i++) {
      digest.update(previous, 0, NAME_BYTES);
      digest.update(context, i * pieceBytes, pieceBytes);
      previous = digest.digest();
      names.add(PieceName.of(previous));
    }
    return List.copyOf(names);
  }

  /** Hashes each part after its length, so that no two scopes have the same encoding. */
  private static byte[] seed(MessageDigest digest, PrefixScope scope) {
    updateWithLength(digest, scope.organisation());
    updateWithLength(digest, scope.modelVersion());
    updateWithLength(digest, scope.weightsDigest());
    updateWithLength(digest, scope.adapter());
    return digest.digest();
  }

  private static void updateWithLength(MessageDigest digest, String part) {
    byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
