package io.foxtaildoor.process.node;

import io.foxtaildoor.common.NodeId;
import io.foxtaildoor.common.TaskScheduler;
import io.foxtaildoor.process.invariant.Invariants;
import io.foxtaildoor.process.settings.LiveSettings;
import io.foxtaildoor.process.settings.Settings;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.ExecutorService;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Settings, resources and services that all components of a node share for the lifetime of the
 * process.
 *
 * @param settings settings with which the process started
 * @param liveSettings settings currently in force, for values that a reload may change
 * @param incarnation start time of the process in milliseconds since the epoch, so that it
 *     increases with each start
 * @param eventLoops event loops for all connections and timers
 * @param worker executes checks that would block an event loop for too long
 * @param clock monotonic time in nanoseconds
 * @param random thread-safe generator with a different seed in each process
 */
record NodeContext(
    Settings settings,
    LiveSettings liveSettings,
    NodeId nodeId,
    long incarnation,
    EventLoopGroup eventLoops,
    ExecutorService worker,
    TaskScheduler scheduler,
    LongSupplier clock,
    RandomGenerator random,
    Invariants invariants,
    PrometheusMeterRegistry registry) {}
