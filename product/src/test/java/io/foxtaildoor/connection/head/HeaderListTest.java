package io.foxtaildoor.connection.head;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of header lists and of the headers that are not forwarded. */
public final class HeaderListTest {
  private HeaderListTest() {}

  /** Tests of lookups and changes. */
  public static final class Access {
    private static final List<String> NAMES =
        List.of("Host", "host", "HOST", "X-Id", "x-id", "Connection");

    private static final int SEQUENCES = 200;
    private static final int STEPS = 40;

    /** Guards against a list that finds, replaces or removes other headers than Netty's table. */
    @Test
    public void behavesLikeTheHeadersOfTheLibrary() {
      for (int seed = 0; seed < SEQUENCES; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        HttpHeaders list = new HeaderList();
        HttpHeaders expected = new DefaultHttpHeaders();
        for (int i = 0; i < STEPS; i++) {
          String name = NAMES.get(random.nextInt(NAMES.size()));
          int operation = random.nextInt(4);
          change(list, operation, name, "v" + i);
          change(expected, operation, name, "v" + i);
          assertEquals(list.get(name), expected.get(name), "seed " + seed);
          assertEquals(list.getAll(name), expected.getAll(name), "seed " + seed);
          assertEquals(list.contains(name), expected.contains(name), "seed " + seed);
          assertEquals(list.size(), expected.size(), "seed " + seed);
        }
      }
    }

    private static void change(HttpHeaders headers, int operation, String name, String value) {
      switch (operation) {
        case 0 -> headers.set(name, value);
        case 1 -> headers.remove(name);
        default -> headers.add(name, value);
      }
    }

    /** Guards against headers that are written in another order than they were received. */
    @Test
    public void keepsTheOrder() {
      HeaderList list = new HeaderList();
      for (int i = 0; i < 20; i++) {
        list.add("X-" + i, i);
      }
      list.remove("x-3");
      assertEquals(list.nameAt(3), "X-4");
      assertEquals(list.valueAt(18), "19");
      assertEquals(list.entries().get(0).getKey(), "X-0");
      assertNull(list.get("X-3"));
    }
  }

  /** Tests of the validation of names and values. */
  public static final class Validation {
    @DataProvider
    Object[][] malformed() {
      return new Object[][] {
        {"", "a"},
        {"a b", "a"},
        {"a:b", "a"},
        {"a\r\nb", "a"},
        {"h\u00e9", "a"},
        {"a", "b\r\nX-Other: c"},
        {"a", "b\nc"},
        {"a", "b\0c"},
      };
    }

    /** Guards against a header that is read as two by the next server. */
    @Test(dataProvider = "malformed")
    public void malformedHeaderIsRejected(String name, String value) {
      HeaderList list = new HeaderList();
      assertThrows(IllegalArgumentException.class, () -> list.add(name, value));
      assertThrows(IllegalArgumentException.class, () -> list.set(name, value));
      assertTrue(list.isEmpty());
    }
  }

  /** Tests of the headers of one connection. */
  public static final class HopByHop {
    /** Guards against forwarding headers that concern one connection, in any case. */
    @Test
    public void containsStandardAndListedNames() {
      HopByHopHeaders headers = HopByHopHeaders.of(List.of("close, X-One", " x-two ,"));
      for (String name : List.of("Connection", "TE", "te", "Keep-Alive", "X-ONE", "X-Two")) {
        assertTrue(headers.contains(name), name);
      }
      for (String name : List.of("Host", "X-Three", "Content-Length", "proxy-connectio")) {
        assertFalse(headers.contains(name), name);
      }
    }

    /** Guards against a head with many listed names that occupies the event loop for seconds. */
    @Test(timeOut = 10_000)
    public void manyListedNamesAreSearchedQuickly() {
      List<String> names = IntStream.range(0, 100_000).mapToObj(i -> "listed-" + i).toList();
      HopByHopHeaders headers = HopByHopHeaders.of(List.of(String.join(",", names)));
      for (int i = 0; i < names.size(); i++) {
        assertFalse(headers.contains("header-" + i));
      }
    }
  }
}
