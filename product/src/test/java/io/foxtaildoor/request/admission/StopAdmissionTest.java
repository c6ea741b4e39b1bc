package io.foxtaildoor.request.admission;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link StopAdmission}. */
public class StopAdmissionTest {
  private static final long NOTICE_END = 3_000;
  private static final long CLOSE = 5_700;

  private StopAdmission admission;

  @BeforeMethod
  public void setUp() {
    admission = new StopAdmission();
  }

  /** Guards against a running node that refuses requests with a distant deadline. */
  @Test
  public void runningNodeAcceptsEveryRequest() {
    assertTrue(admission.accepts(Long.MAX_VALUE, CLOSE));
  }

  /** Guards against refused callers that could not know yet that the node is stopping. */
  @Test
  public void everyRequestIsAcceptedUntilCallersHadNotice() {
    admission.begin(NOTICE_END, CLOSE);
    assertTrue(admission.accepts(CLOSE + 10_000, NOTICE_END - 1));
  }

  /** Guards against an accepted request that the node cuts off when it closes its connections. */
  @Test
  public void requestThatMayOutlastTheStopIsRefused() {
    admission.begin(NOTICE_END, CLOSE);
    assertFalse(admission.accepts(CLOSE + 1, NOTICE_END));
    assertTrue(admission.accepts(CLOSE, NOTICE_END));
  }
}
