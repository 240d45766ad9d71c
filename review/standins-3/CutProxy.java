import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.Predicate;

/**
 * A SOCKS 5 proxy by which one process opens its connections to others. While a way is cut it
 * carries nothing and closes nothing, as a partition does.
 */
final class CutProxy {

  private static final int HEAD_BYTES = 4;

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  private final Predicate<String> isCut;

  CutProxy(Predicate<String> isCut) throws IOException {
    this.isCut = isCut;
    Worker.thread(this::accept);
  }

  /** Returns the options of a JVM whose sockets connect by this proxy. */
  String jvmOptions() {
    return "-DsocksProxyHost=127.0.0.1 -DsocksProxyPort=" + server.getLocalPort()
        + " -DsocksNonProxyHosts=";
  }

  private void accept() {
    while (true) {
      try {
        Socket near = server.accept();
        Worker.thread(() -> serve(near));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket near) {
    try (near;
        Socket far = new Socket(Proxy.NO_PROXY)) {
      DataInputStream in = new DataInputStream(near.getInputStream());
      in.readByte();
      in.readNBytes(in.readUnsignedByte());
      near.getOutputStream().write(new byte[] {5, 0});
      in.readNBytes(HEAD_BYTES);
      String host = InetAddress.getByAddress(in.readNBytes(4)).getHostAddress();
      int port = in.readUnsignedShort();
      awaitWay(host);
      byte status = 0;
      try {
        far.connect(new InetSocketAddress(host, port), 2000);
      } catch (IOException e) {
        status = 5;
      }
      near.getOutputStream().write(new byte[] {5, status, 0, 1, 0, 0, 0, 0, 0, 0});
      if (status == 0) {
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Worker.thread(() -> carry(near, far, host));
        carry(far, near, host);
      }
    } catch (IOException e) {
      // Either side closed.
    }
  }

  private void carry(Socket from, Socket to, String host) {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] buffer = new byte[16384];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitWay(host);
        out.write(buffer, 0, count);
      }
      awaitWay(host);
    } catch (IOException e) {
      // Either side closed.
    }
  }

  private void awaitWay(String host) {
    while (isCut.test(host)) {
      Worker.sleep(5);
    }
  }
}
