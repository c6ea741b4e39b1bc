package io.foxtaildoor.standins.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.testng.annotations.Test;

/** Tests of the faults that the platform stand-in injects. */
public final class PlatformStandInTest {
  private static final int ROUNDS = 500;

  private PlatformStandInTest() {}

  /** Tests of the fault that refuses connections. */
  public static final class Refusal {
    /**
     * Guards against a listener that still accepts connections after the fault is reported as set,
     * and resets them later.
     */
    @Test
    public void connectionsAreRefusedOnceTheFaultIsSet() throws IOException {
      InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      try (PlatformStandIn platform = PlatformStandIn.start(loopback)) {
        for (int i = 0; i < ROUNDS; i++) {
          platform.control("{\"down\":\"refused\"}");
          assertThrows(ConnectException.class, () -> connect(platform.address()).close());
          platform.control("{\"down\":\"none\"}");
          try (Socket socket = connect(platform.address())) {
            assertEquals(socket.getPort(), platform.address().getPort());
          }
        }
      }
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
      return new Socket(address.getAddress(), address.getPort());
    }
  }
}
