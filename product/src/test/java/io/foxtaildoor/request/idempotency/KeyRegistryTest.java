package io.foxtaildoor.request.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.foxtaildoor.common.ServiceId;
import io.foxtaildoor.protocol.ResponseStart;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link KeyRegistry}. */
public class KeyRegistryTest {
  private static final ServiceId SERVICE = new ServiceId("bookings");
  private static final long RETENTION = TimeUnit.MINUTES.toNanos(10);

  private KeyRegistry registry;

  @BeforeMethod
  public void create() {
    registry = new KeyRegistry(new KeyRegistrySettings(1, 3, 10_000, 1000, Duration.ofMinutes(10)));
  }

  private static StoredResponse answer(int bytes) {
    return new StoredResponse(
        ResponseStart.newBuilder().setStatus(201).build(), ByteString.copyFrom(new byte[bytes]));
  }

  private KeyClaimResult.Claim granted(String key, long nowNanos) {
    return ((KeyClaimResult.Granted) registry.claim(SERVICE, key, nowNanos)).claim();
  }

  private void assertClaim(Class<? extends KeyClaimResult> expected, String key, long nowNanos) {
    assertEquals(registry.claim(SERVICE, key, nowNanos).getClass(), expected);
  }

  /** Guards against a second run of a request that is running, ran or may have run. */
  @Test
  public void repeatedRequestNeverRunsAgain() {
    KeyRegistry all = new KeyRegistry(KeyRegistrySettings.defaults());
    KeyClaimResult.Claim claim = ((KeyClaimResult.Granted) all.claim(SERVICE, "k", 0)).claim();
    assertTrue(all.claim(SERVICE, "k", 1) instanceof KeyClaimResult.Duplicate);
    claim.recordResponse(answer(10), 2);
    claim.release();
    assertEquals(all.claim(SERVICE, "k", 3), new KeyClaimResult.Answered(answer(10)));
    KeyClaimResult.Claim other =
        ((KeyClaimResult.Granted) all.claim(new ServiceId("x"), "k", 0)).claim();
    other.recordUnknownOutcome(4);
    assertTrue(all.claim(new ServiceId("x"), "k", 5) instanceof KeyClaimResult.Duplicate);
  }

  /** Guards against a key that stays claimed although its request was refused without being run. */
  @Test
  public void releasedKeyCanBeClaimedAgain() {
    granted("released", 0).release();
    assertEquals(registry.size(), 0);
    granted("released", 0).release();
  }

  /** Guards against a full registry that drops a key before its retention time has passed. */
  @Test
  public void fullRegistryRefusesNewKeys() {
    KeyRegistry small =
        new KeyRegistry(new KeyRegistrySettings(1, 1, 10_000, 1000, Duration.ofMinutes(10)));
    ((KeyClaimResult.Granted) small.claim(SERVICE, "a", 0)).claim().recordUnknownOutcome(0);
    assertEquals(small.claim(SERVICE, "b", RETENTION - 1), new KeyClaimResult.Full());
    assertTrue(small.claim(SERVICE, "a", RETENTION - 1) instanceof KeyClaimResult.Duplicate);
    assertTrue(small.claim(SERVICE, "b", RETENTION) instanceof KeyClaimResult.Granted);
    assertEquals(small.claim(SERVICE, "a", 9 * RETENTION), new KeyClaimResult.Full());
  }

  /**
   * Guards against responses that exceed the size limits, and against bytes that are not released
   * when a key expires.
   */
  @Test
  public void storedBytesStayWithinLimits() {
    granted("large", 0).recordResponse(answer(2000), 0);
    assertClaim(KeyClaimResult.Duplicate.class, "large", 1);
    for (int i = 0; i < 50; i++) {
      long now = (i + 1) * RETENTION;
      granted("k" + i, now).recordResponse(answer(900), now);
      assertClaim(KeyClaimResult.Answered.class, "k" + i, now);
      assertEquals(registry.size(), 1);
    }
  }
}
