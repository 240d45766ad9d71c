package org.geraniumwharf.internal.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.Test;

class ClusterKeyTest {

  private static final byte[] NONCE = {1, 2, 3, 4, 5};

  /** Test case 2 of RFC 4231. */
  @Test
  void should_compute_the_proof_of_the_standard() {
    byte[] proof = ClusterKey.of("Jefe").proof("what do ya want ".getBytes(UTF_8), "for nothing?");

    assertEquals(
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
        HexFormat.of().formatHex(proof));
  }

  /** Daemons of earlier builds use the JDK's Mac, with keys of any length. */
  @Test
  void should_compute_the_same_proofs_as_the_mac_of_the_jdk() throws Exception {
    for (int length = 1; length <= 200; length++) {
      String key = "k".repeat(length);

      assertArrayEquals(macOfTheJdk(key, "entry-1"), ClusterKey.of(key).proof(NONCE, "entry-1"));
    }
  }

  @Test
  void should_verify_only_the_proof_for_the_same_key_nonce_and_name() {
    ClusterKey key = ClusterKey.of("a key for tests only");
    byte[] proof = key.proof(NONCE, "entry-1");

    assertTrue(key.verifies(proof, NONCE, "entry-1"));
    assertFalse(key.verifies(proof, NONCE, "entry-2"));
    assertFalse(key.verifies(proof, new byte[] {9}, "entry-1"));
    assertFalse(ClusterKey.of("another key for tests").verifies(proof, NONCE, "entry-1"));
  }

  private static byte[] macOfTheJdk(String key, String name) throws GeneralSecurityException {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(key.getBytes(UTF_8), "HmacSHA256"));
    mac.update(NONCE);
    return mac.doFinal(name.getBytes(UTF_8));
  }
}
