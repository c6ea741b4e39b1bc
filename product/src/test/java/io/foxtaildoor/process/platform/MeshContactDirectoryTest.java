package io.foxtaildoor.process.platform;

import static org.testng.Assert.assertEquals;

import io.foxtaildoor.common.DataCentreId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link MeshContactDirectory} with entries that another writer left. */
public class MeshContactDirectoryTest {
  private static final String KEY = "contacts/mesh";
  private static final String SOUND = "oslo-b 10.0.0.2:7000\n";

  @DataProvider
  public Object[][] oddEntries() {
    return new Object[][] {
      {"port too large", "oslo-a 10.0.0.1:70000\n"},
      {"negative port", "oslo-a 10.0.0.1:-1\n"},
      {"port of 400 digits", "oslo-a 10.0.0.1:" + "9".repeat(400) + "\n"},
      {"no port", "oslo-a 10.0.0.1\n"},
      {"host name", "oslo-a node.example:7000\n"},
      {"deeply nested", "[".repeat(100_000) + "]".repeat(100_000) + "\n"},
      {"nested after a data centre", "oslo-a " + "{".repeat(100_000) + "\n"},
      {"empty line", "\n"},
      {"data centre only", "oslo-a \n"},
      {"control characters", "oslo-a \u0000\u0001:7000\n"},
      {"long line", "x".repeat(900_000) + "\n"},
    };
  }

  /**
   * Guards against an odd entry that hides the sound ones beside it, or that keeps the node from
   * entering its own address.
   */
  @Test(dataProvider = "oddEntries")
  public void oddEntryIsSkipped(String name, String entry) throws UnknownHostException {
    InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    store.compareAndSet(KEY, KeyValueStore.ABSENT_REVISION, bytes(entry + SOUND)).join();
    MeshContactDirectory directory = new MeshContactDirectory(store);
    assertEquals(directory.read().join(), List.of(address(2)), name);

    directory.refresh(new DataCentreId("oslo-a"), address(3), alive -> true).join();
    assertEquals(directory.read().join(), List.of(address(3), address(2)), name);
  }

  /** Guards against a value that is no text at all. */
  @Test
  public void bytesThatAreNoTextAreSkipped() throws UnknownHostException {
    InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    byte[] value = {(byte) 0xff, (byte) 0xfe, 0, (byte) 0x80};
    store.compareAndSet(KEY, KeyValueStore.ABSENT_REVISION, value).join();
    MeshContactDirectory directory = new MeshContactDirectory(store);
    directory.refresh(new DataCentreId("oslo-a"), address(3), alive -> true).join();
    assertEquals(directory.read().join(), List.of(address(3)));
  }

  /**
   * Guards against an outage that removes the addresses of the mesh, or that a reader takes for a
   * mesh without other nodes.
   */
  @Test
  public void entriesOutlastAnOutage() throws UnknownHostException {
    InMemoryKeyValueStore store = new InMemoryKeyValueStore();
    store.compareAndSet(KEY, KeyValueStore.ABSENT_REVISION, bytes(SOUND)).join();
    MeshContactDirectory directory = new MeshContactDirectory(store);
    store.setDown(true);
    assertEquals(
        directory.refresh(new DataCentreId("oslo-b"), address(3), alive -> false).join(),
        List.of());
    store.setDown(false);
    assertEquals(directory.read().join(), List.of(address(2)));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static InetSocketAddress address(int host) throws UnknownHostException {
    return new InetSocketAddress(
        InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) host}), 7_000);
  }
}
