package org.geraniumwharf.internal.transport;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.security.SecureRandom;
import java.util.function.BooleanSupplier;
import org.geraniumwharf.schema.messages.Frame;
import org.geraniumwharf.schema.messages.Hello;
import org.geraniumwharf.schema.messages.HelloAccepted;
import org.geraniumwharf.schema.messages.HelloChallenge;
import org.geraniumwharf.schema.messages.PeerMessage;

/**
 * Start of a connection: the accepting side challenges with a nonce, the connecting side proves
 * that it knows the cluster key, the accepting side names itself.
 */
final class Handshake {

  private static final int NONCE_BYTES = 32;

  /** Created when the first connection is accepted: most entries never accept one. */
  private static final class Nonces {

    private static final SecureRandom RANDOM = new SecureRandom();
  }

  private final String name;
  private final ClusterKey key;
  private final BooleanSupplier isInitialised;

  Handshake(String name, ClusterKey key, BooleanSupplier isInitialised) {
    this.name = name;
    this.key = key;
    this.isInitialised = isInitialised;
  }

  /** Returns the proven name of the connecting side. */
  String accept(DataInputStream input, DataOutputStream output) throws IOException {
    byte[] nonce = new byte[NONCE_BYTES];
    Nonces.RANDOM.nextBytes(nonce);
    write(output, HelloChallenge.of(FrameCodec.PROTOCOL_VERSION, nonce));
    Hello hello = read(input, Hello.class);
    if (!key.verifies(hello.proof(), nonce, hello.name())) {
      throw new ProtocolException("wrong cluster key");
    }
    write(output, HelloAccepted.of(name, isInitialised.getAsBoolean()));
    return hello.name();
  }

  /**
   * Proves the key to the accepting side.
   *
   * @throws ConnectException if the connection closes before the challenge, as when a process has
   *     ended or a proxy has nothing behind it; a running daemon always sends its challenge
   */
  HelloAccepted connect(DataInputStream input, DataOutputStream output) throws IOException {
    HelloChallenge challenge = readChallenge(input);
    byte[] proof = key.proof(challenge.nonce(), name);
    write(output, Hello.of(FrameCodec.PROTOCOL_VERSION, name, proof));
    return read(input, HelloAccepted.class);
  }

  private static HelloChallenge readChallenge(DataInputStream input) throws IOException {
    try {
      return read(input, HelloChallenge.class);
    } catch (EOFException | SocketException e) {
      throw new ConnectException("the connection closed before the handshake");
    }
  }

  private static void write(DataOutputStream output, PeerMessage message) throws IOException {
    FrameCodec.write(output, FrameCodec.encode(Frame.of(0, false, message)));
    output.flush();
  }

  private static <T> T read(DataInputStream input, Class<T> type) throws IOException {
    PeerMessage message = FrameCodec.read(input, FrameCodec.MAX_HANDSHAKE_BYTES).body();
    if (!type.isInstance(message)) {
      throw new ProtocolException("expected " + type.getSimpleName());
    }
    return type.cast(message);
  }
}
