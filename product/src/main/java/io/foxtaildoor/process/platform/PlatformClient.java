package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The product's narrow view of the platform's key-value service, with its leases. */
public interface PlatformClient extends KeyValueStore {
  /** Acquires a lease; gives a conflict while another holder has it. */
  CompletableFuture<PlatformResult<PlatformLease>> acquireLease(
      String key, String holder, Duration timeToLive);

  /** Extends a lease; gives a conflict when it has lapsed. */
  CompletableFuture<PlatformResult<PlatformLease>> renewLease(PlatformLease lease);

  /** Gives a lease back. */
  CompletableFuture<PlatformResult<PlatformLease>> releaseLease(PlatformLease lease);
}
