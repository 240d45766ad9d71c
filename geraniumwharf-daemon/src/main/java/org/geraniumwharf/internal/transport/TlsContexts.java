package org.geraniumwharf.internal.transport;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.PrivateKey;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.spec.InvalidKeySpecException;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Collection;
import java.util.Optional;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.geraniumwharf.schema.settings.TlsSettings;

/** TLS contexts from PEM files. */
public final class TlsContexts {

  private static final char[] NO_PASSWORD = new char[0];
  private static final String[] KEY_ALGORITHMS = {"RSA", "EC", "Ed25519"};

  private TlsContexts() {}

  /**
   * Returns a context for mutual TLS; empty when no files are set.
   *
   * @throws IOException if a file cannot be read or holds no usable key or certificate
   */
  public static Optional<SSLContext> of(TlsSettings settings) throws IOException {
    if (settings.certificateFile().isEmpty()) {
      return Optional.empty();
    }
    try {
      Collection<? extends Certificate> chain =
          certificates(settings.certificateFile().orElseThrow());
      PrivateKey key = privateKey(settings.privateKeyFile().orElseThrow());
      Collection<? extends Certificate> authorities =
          certificates(settings.authorityFile().orElseThrow());
      return Optional.of(context(chain, key, authorities));
    } catch (GeneralSecurityException e) {
      throw new IOException("cannot use the TLS files: " + e.getMessage(), e);
    }
  }

  private static SSLContext context(
      Collection<? extends Certificate> chain,
      PrivateKey key,
      Collection<? extends Certificate> authorities)
      throws GeneralSecurityException, IOException {
    KeyStore own = emptyStore();
    own.setKeyEntry("daemon", key, NO_PASSWORD, chain.toArray(Certificate[]::new));
    KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keys.init(own, NO_PASSWORD);
    KeyStore trusted = emptyStore();
    int number = 0;
    for (Certificate authority : authorities) {
      trusted.setCertificateEntry("authority-" + number, authority);
      number++;
    }
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(trusted);
    SSLContext context = SSLContext.getInstance("TLSv1.3");
    context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
    return context;
  }

  private static KeyStore emptyStore() throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, NO_PASSWORD);
    return store;
  }

  private static Collection<? extends Certificate> certificates(String file)
      throws GeneralSecurityException, IOException {
    byte[] bytes = Files.readAllBytes(Path.of(file));
    return CertificateFactory.getInstance("X.509")
        .generateCertificates(new ByteArrayInputStream(bytes));
  }

  private static PrivateKey privateKey(String file) throws GeneralSecurityException, IOException {
    String text = Files.readString(Path.of(file)).replaceAll("-----[A-Z ]+-----", "");
    PKCS8EncodedKeySpec spec = new PKCS8EncodedKeySpec(Base64.getMimeDecoder().decode(text));
    for (String algorithm : KEY_ALGORITHMS) {
      try {
        return KeyFactory.getInstance(algorithm).generatePrivate(spec);
      } catch (InvalidKeySpecException e) {
        // The key is of another algorithm.
      }
    }
    throw new IOException("no RSA, EC or Ed25519 key in PKCS#8 form in " + file);
  }
}
