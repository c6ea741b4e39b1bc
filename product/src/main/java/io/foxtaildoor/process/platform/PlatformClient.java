package io.foxtaildoor.process.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** The operations of the platform's key-value service that the product uses, including leases. */
public interface PlatformClient extends KeyValueStore {
  /** Acquires a lease. The result is a conflict while another holder has it. */
  CompletableFuture<PlatformResult<PlatformLease>> acquireLease(
      String key, String holder, Duration timeToLive);

  /** Renews a lease. The result is a conflict if the lease has expired. */
  CompletableFuture<PlatformResult<PlatformLease>> renewLease(PlatformLease lease);

  /** Releases a lease before it expires. */
  CompletableFuture<PlatformResult<PlatformLease>> releaseLease(PlatformLease lease);
}
