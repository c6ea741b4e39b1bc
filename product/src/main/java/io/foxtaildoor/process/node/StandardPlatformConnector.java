package io.foxtaildoor.process.node;

import static io.foxtaildoor.process.settings.NodeSettings.CONTACTS;
import static io.foxtaildoor.process.settings.NodeSettings.DATA_CENTRE;

import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.membership.Membership;
import io.foxtaildoor.process.platform.ContactDirectory;
import io.foxtaildoor.process.platform.HttpPlatformClient;
import io.foxtaildoor.process.platform.MeshContactDirectory;
import io.foxtaildoor.process.platform.PublishedConfigurationReceiver;
import io.foxtaildoor.process.platform.ReaderService;
import io.foxtaildoor.process.platform.ReaderSettings;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Connects a node to a platform with the product's own interface. */
final class StandardPlatformConnector implements PlatformConnector {
  /** Time between two reads of the platform's contacts while the node knows no other node. */
  private static final Duration CONTACT_REFRESH_INTERVAL = Duration.ofSeconds(15);

  /** Time after which a node starts to read the platform even if it has not joined. */
  private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(5);

  private final NodeContext context;
  private final Membership membership;
  private final HttpPlatformClient platform;
  private final ReaderService readerService;
  private final EventExecutor controlThread;
  private final ContactDirectory contactDirectory;
  private final MeshContactDirectory meshDirectory;
  private boolean readMeshNext;
  private volatile boolean stopping;

  StandardPlatformConnector(
      NodeContext context,
      Membership membership,
      PublishedConfigurationReceiver distributor,
      EventExecutor controlThread) {
    this.context = context;
    this.membership = membership;
    this.controlThread = controlThread;
    ModuleSettings modules = new ModuleSettings(context.settings());
    platform =
        new HttpPlatformClient(
            modules.platform(),
            context.eventLoops(),
            context.clock(),
            context.random(),
            context.registry());
    ReaderSettings readerSettings = modules.reader();
    readerService =
        new ReaderService(
            membership,
            readerSettings,
            platform,
            distributor,
            TaskScheduler.on(controlThread),
            context.clock(),
            context.random(),
            this::addContacts);
    meshDirectory = new MeshContactDirectory(platform);
    contactDirectory = new ContactDirectory(platform, readerSettings.contacts());
  }

  HttpPlatformClient platform() {
    return platform;
  }

  @Override
  public void start() {
    // A node must be able to read the platform even when none of its contacts exists any more.
    membership
        .joined()
        .completeOnTimeout(null, JOIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .thenRunAsync(this::startReaders, controlThread);
    long delay = context.random().nextLong(CONTACT_REFRESH_INTERVAL.toNanos());
    context.scheduler().schedule(delay, this::refreshContacts);
  }

  private void startReaders() {
    if (!stopping) {
      readerService.start();
    }
  }

  /**
   * Reads contacts from the platform while the node knows no other node, and adds them to those of
   * the settings, so that either source alone suffices for joining.
   *
   * <p>The contacts of the node's data centre and those of the whole mesh are read alternately. The
   * first read takes place at a random time within the interval, so that 12,000 nodes make 800
   * reads/s; the platform can serve 2,000 reads/s.
   */
  private void refreshContacts() {
    if (stopping) {
      return;
    }
    if (membership.nodes().size() <= 1) {
      CompletableFuture<List<InetSocketAddress>> read =
          readMeshNext
              ? meshDirectory.read()
              : contactDirectory.read(context.settings().get(DATA_CENTRE));
      readMeshNext = !readMeshNext;
      CompletableFuture<Void> unused = read.thenAccept(this::addContacts);
    }
    context.scheduler().schedule(CONTACT_REFRESH_INTERVAL.toNanos(), this::refreshContacts);
  }

  /**
   * Uses the contacts of the settings, followed by those of the platform. An empty result changes
   * nothing.
   */
  private void addContacts(List<InetSocketAddress> platformContacts) {
    if (!platformContacts.isEmpty()) {
      membership.setContacts(
          Stream.concat(context.settings().get(CONTACTS).stream(), platformContacts.stream())
              .distinct()
              .toList());
    }
  }

  @Override
  public void stop() {
    stopping = true;
    controlThread.submit(readerService::close).awaitUninterruptibly();
  }

  @Override
  public void close() {
    platform.close();
  }
}
