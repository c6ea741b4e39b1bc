package io.foxtaildoor.version.manifest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import io.foxtaildoor.common.TeamId;
import io.foxtaildoor.protocol.RouteConfiguration;
import io.foxtaildoor.protocol.ServiceConfiguration;
import io.foxtaildoor.protocol.TeamConfiguration;
import io.foxtaildoor.version.routing.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationSnapshot}, in particular the reuse of unchanged parts. */
public class ConfigurationSnapshotTest {
  private static final byte[] TEAM_A = part("a", "service-a", "service-b", "/one");
  private static final byte[] TEAM_B = part("b", "service-b", "service-b", "/two");
  private static final Digest DIGEST_A = Digest.of(TEAM_A);
  private static final Digest DIGEST_B = Digest.of(TEAM_B);
  private static final Map<Digest, byte[]> PREVIOUS_PARTS =
      Map.of(DIGEST_A, TEAM_A, DIGEST_B, TEAM_B);
  private static final ConfigurationSnapshot PREVIOUS =
      ConfigurationSnapshot.build(
          manifest(1, Map.of("a", DIGEST_A, "b", DIGEST_B)), PREVIOUS_PARTS);

  private static byte[] part(String team, String service, String target, String path) {
    return TeamConfiguration.newBuilder()
        .setTeam(team)
        .addServices(ServiceConfiguration.newBuilder().setId(service).addCallers("*").setSlots(1))
        .addRoutes(
            RouteConfiguration.newBuilder()
                .setName("route")
                .setHost("shared.example")
                .setPath(path)
                .setPrefix(true)
                .setService(target)
                .setDeadlineMillis(500))
        .build()
        .toByteArray();
  }

  private static Manifest manifest(long version, Map<String, Digest> entries) {
    TreeMap<TeamId, Digest> sorted = new TreeMap<>();
    entries.forEach((team, digest) -> sorted.put(new TeamId(team), digest));
    return Manifest.of(version, sorted);
  }

  private static byte[] corrupted(byte[] content) {
    byte[] changed = content.clone();
    changed[changed.length - 1] ^= 1;
    return changed;
  }

  private static Map<Digest, byte[]> previousPartsWith(Digest digest, byte[] content) {
    Map<Digest, byte[]> parts = new HashMap<>(PREVIOUS_PARTS);
    parts.put(digest, content);
    return parts;
  }

  /** Returns versions that a build without reuse rejects. */
  @DataProvider
  public Object[][] badOffers() {
    Map<String, Digest> unchanged = Map.of("a", DIGEST_A, "b", DIGEST_B);
    byte[] duplicateService = part("c", "service-a", "service-b", "/three");
    byte[] danglingRoute = part("c", "service-c", "service-x", "/three");
    Digest duplicateServiceDigest = Digest.of(duplicateService);
    Digest danglingRouteDigest = Digest.of(danglingRoute);
    return new Object[][] {
      {
        "corrupted bytes under a held digest",
        unchanged,
        previousPartsWith(DIGEST_A, corrupted(TEAM_A))
      },
      {"another team's bytes under a held digest", unchanged, previousPartsWith(DIGEST_A, TEAM_B)},
      {"no bytes under a held digest", unchanged, Map.of(DIGEST_B, TEAM_B)},
      {
        "corrupted bytes under a new digest",
        Map.of("a", danglingRouteDigest, "b", DIGEST_B),
        previousPartsWith(danglingRouteDigest, corrupted(danglingRoute))
      },
      {"held part moved to a new team", Map.of("a", DIGEST_A, "c", DIGEST_B), PREVIOUS_PARTS},
      {"held parts exchanged", Map.of("a", DIGEST_B, "b", DIGEST_A), PREVIOUS_PARTS},
      {"held part of two teams", Map.of("a", DIGEST_B, "b", DIGEST_B), PREVIOUS_PARTS},
      {"service of a reused part removed", Map.of("a", DIGEST_A), PREVIOUS_PARTS},
      {
        "service of a reused part defined again",
        Map.of("a", DIGEST_A, "b", DIGEST_B, "c", duplicateServiceDigest),
        previousPartsWith(duplicateServiceDigest, duplicateService)
      },
      {
        "new part with a dangling route",
        Map.of("a", DIGEST_A, "b", DIGEST_B, "c", danglingRouteDigest),
        previousPartsWith(danglingRouteDigest, danglingRoute)
      },
    };
  }

  /** Guards against a check that is skipped when parts of the previous snapshot are reused. */
  @Test(dataProvider = "badOffers")
  public void reuseDoesNotBypassChecks(
      String description, Map<String, Digest> entries, Map<Digest, byte[]> parts) {
    Manifest manifest = manifest(2, entries);
    assertEquals(
        rejectionMessage(manifest, parts, PREVIOUS),
        rejectionMessage(manifest, parts, ConfigurationSnapshot.EMPTY));
  }

  private static String rejectionMessage(
      Manifest manifest, Map<Digest, byte[]> parts, ConfigurationSnapshot previous) {
    FoxtaildoorException[] thrown = new FoxtaildoorException[1];
    assertThrows(
        FoxtaildoorException.class,
        () -> {
          try {
            ConfigurationSnapshot.build(manifest, parts, previous);
          } catch (FoxtaildoorException e) {
            thrown[0] = e;
            throw e;
          }
        });
    assertEquals(thrown[0].kind(), ErrorKind.BAD_CONFIGURATION);
    return thrown[0].getMessage();
  }

  /** Guards against a snapshot that depends on the previous versions, because parts are reused. */
  @Test
  public void buildWithReuseEqualsBuildWithoutReuse() {
    int rejections = 0;
    for (int seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      Map<String, byte[]> teams = new TreeMap<>();
      ConfigurationSnapshot previous = ConfigurationSnapshot.EMPTY;
      for (int version = 1; version <= 100; version++) {
        Map<String, byte[]> next = new TreeMap<>(teams);
        changeOneTeam(next, random);
        Map<String, Digest> entries = new HashMap<>();
        Map<Digest, byte[]> parts = new HashMap<>();
        next.forEach((team, content) -> entries.put(team, Digest.of(content)));
        next.values().forEach(content -> parts.put(Digest.of(content), content.clone()));
        Manifest manifest = manifest(version, entries);
        ConfigurationSnapshot full;
        try {
          full = ConfigurationSnapshot.build(manifest, parts);
        } catch (FoxtaildoorException e) {
          assertEquals(rejectionMessage(manifest, parts, previous), e.getMessage());
          rejections++;
          continue;
        }
        previous = ConfigurationSnapshot.build(manifest, parts, previous);
        assertSameConfiguration(previous, full);
        teams = next;
      }
    }
    assertTrue(rejections > 100 && rejections < 1_500, "both outcomes occur often: " + rejections);
  }

  private static void changeOneTeam(Map<String, byte[]> teams, Random random) {
    String team = "team-" + random.nextInt(8);
    if (random.nextInt(4) == 0) {
      teams.remove(team);
      return;
    }
    int target = random.nextInt(8);
    String service = random.nextInt(10) == 0 ? "service-0" : team.replace("team", "service");
    String targetService = target < 4 ? service : "service-" + target;
    teams.put(team, part(team, service, targetService, "/p" + "/x".repeat(random.nextInt(4))));
  }

  private static void assertSameConfiguration(
      ConfigurationSnapshot reused, ConfigurationSnapshot full) {
    assertEquals(reused.stamp(), full.stamp());
    assertEquals(reused.manifest().entries(), full.manifest().entries());
    assertEquals(reused.parts().keySet(), full.parts().keySet());
    reused.parts().forEach((digest, content) -> assertEquals(Digest.of(content), digest));
    assertEquals(Set.copyOf(reused.routes().services()), Set.copyOf(full.routes().services()));
    assertEquals(new HashSet<>(reused.routes().routes()), new HashSet<>(full.routes().routes()));
    List<Route> found = new ArrayList<>();
    List<Route> expected = new ArrayList<>();
    for (String path : List.of("/p", "/p/x", "/p/x/x", "/p/x/x/x/x", "/q")) {
      reused.routes().find("shared.example", "GET", path).ifPresent(found::add);
      full.routes().find("shared.example", "GET", path).ifPresent(expected::add);
    }
    assertEquals(found, expected);
  }
}
