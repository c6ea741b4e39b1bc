package io.foxtaildoor.version.approval;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.process.platform.PlatformEntry;
import io.foxtaildoor.protocol.Approval;
import io.foxtaildoor.protocol.ConfigurationHead;
import io.foxtaildoor.version.manifest.Manifest;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Tests of {@link HeadUpdate}. */
public class HeadUpdateTest {
  private static final Digest PART = Digest.of(new byte[1]);
  private static final TeamId TEAM = new TeamId("new-team");

  private static HeadUpdate next(AcceptedHead head, int write) {
    Approval approval = Approval.newBuilder().setWriteId("w" + write).build();
    return HeadUpdate.next(head, TEAM, PART, approval, Set.of());
  }

  /** Guards against writing a part whose head then exceeds the value size limit of the platform. */
  @Test
  public void refusesHeadAboveValueLimit() {
    SortedMap<TeamId, Digest> entries = new TreeMap<>();
    for (int i = 0; i < 25_000; i++) {
      entries.put(new TeamId("team-" + i), PART);
    }
    AcceptedHead head =
        new AcceptedHead(1, ConfigurationHead.getDefaultInstance(), Manifest.of(7, entries));
    assertThrows(FoxtaildoorException.class, () -> next(head, 1));
  }

  /** Guards against a head that grows with every version and against loss of recent write ids. */
  @Test
  public void keepsWriteIdsOfRecentVersions() {
    AcceptedHead head = AcceptedHead.parse(new PlatformEntry("head", 0, new byte[0]));
    for (int i = 1; i <= 100; i++) {
      head = AcceptedHead.parse(new PlatformEntry("head", i, next(head, i).content()));
    }
    assertEquals(head.version(), 100);
    assertEquals(head.record().getRecentWriteIdsCount(), 32);
    assertEquals(head.hasRecentWrite("w100"), true);
    assertEquals(head.hasRecentWrite("w69"), true);
    assertEquals(head.hasRecentWrite("w68"), false);
  }
}
