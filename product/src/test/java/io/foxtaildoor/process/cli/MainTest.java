package io.foxtaildoor.process.cli;

import static org.testng.Assert.assertNotNull;

import org.testng.annotations.Test;

/** Tests of {@link Main}. */
public class MainTest {
  @Test
  public void classLoads() {
    assertNotNull(Main.class);
  }

  /** Nested tests run as well. */
  public static final class Nested {
    @Test
    public void runs() {
      assertNotNull(Main.class);
    }
  }
}
