package io.foxtaildoor.process.instance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.process.platform.InMemoryKeyValueStore;
import io.foxtaildoor.process.platform.KeyValueStore;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link DepartureStore} with records that another writer left. */
public class DepartureStoreTest {
  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 8_080);

  @DataProvider
  public Object[][] oddRecords() {
    return new Object[][] {
      {""},
      {" "},
      {"i-1"},
      {"100"},
      {"100 "},
      {" i-1"},
      {"9".repeat(400) + " i-1"},
      {"100 i-1 \u0000"},
      {"100 " + "x".repeat(900_000)},
      {"[".repeat(100_000) + "]".repeat(100_000)},
      {"\ufffd\ufffe \ufffd"},
    };
  }

  /** Guards against an odd record that fails the reads, or that cannot be replaced. */
  @Test(dataProvider = "oddRecords")
  public void oddRecordCountsAsNoDeparture(String record) {
    InMemoryKeyValueStore platform = new InMemoryKeyValueStore();
    DepartureStore store = new DepartureStore(platform, ADDRESS);
    byte[] value = record.getBytes(StandardCharsets.UTF_8);
    platform.compareAndSet("leaving/127.0.0.1:8080", KeyValueStore.ABSENT_REVISION, value).join();
    assertEquals(store.read().join().orElseThrow().incarnation(), Optional.empty());

    Incarnation departed = new Incarnation(new InstanceId("i-2"), 200);
    assertTrue(store.record(departed).join());
    assertEquals(store.read().join().orElseThrow().incarnation(), Optional.of(departed));
  }
}
