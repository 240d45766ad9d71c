package org.geraniumwharf.internal.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Key that the daemons of one fleet share; it proves membership and never crosses the network. A
 * proof is an HMAC with SHA-256 (RFC 2104), computed here because the JDK's Mac takes long to load
 * at the start of an instance.
 */
public final class ClusterKey {

  private static final String HASH = "SHA-256";
  private static final int BLOCK_BYTES = 64;
  private static final byte INNER_PAD = 0x36;
  private static final byte OUTER_PAD = 0x5c;
  private static final int MIN_LENGTH = 16;

  /** The key, padded with zeros to the block size of the hash. */
  private final byte[] block;

  private ClusterKey(byte[] block) {
    this.block = block;
  }

  public static ClusterKey of(String text) {
    byte[] key = text.getBytes(StandardCharsets.UTF_8);
    byte[] shortened = key.length > BLOCK_BYTES ? hash(key) : key;
    return new ClusterKey(Arrays.copyOf(shortened, BLOCK_BYTES));
  }

  /**
   * Reads the key from a file, without surrounding white space.
   *
   * @throws IOException if the file cannot be read or the key is too short
   */
  public static ClusterKey read(Path file) throws IOException {
    String text = Files.readString(file).strip();
    if (text.length() < MIN_LENGTH) {
      throw new IOException(
          "the cluster key in " + file + " has fewer than " + MIN_LENGTH + " characters");
    }
    return of(text);
  }

  byte[] proof(byte[] nonce, String name) {
    byte[] inner = hash(padded(INNER_PAD), nonce, name.getBytes(StandardCharsets.UTF_8));
    return hash(padded(OUTER_PAD), inner);
  }

  private byte[] padded(byte pad) {
    byte[] padded = new byte[BLOCK_BYTES];
    for (int i = 0; i < BLOCK_BYTES; i++) {
      padded[i] = (byte) (block[i] ^ pad);
    }
    return padded;
  }

  private static byte[] hash(byte[]... parts) {
    try {
      MessageDigest digest = MessageDigest.getInstance(HASH);
      for (byte[] part : parts) {
        digest.update(part);
      }
      return digest.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(HASH + " is not available", e);
    }
  }

  boolean verifies(byte[] proof, byte[] nonce, String name) {
    return MessageDigest.isEqual(proof, proof(nonce, name));
  }
}
