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
 * What all parts of a node share for the life of the process.
 *
 * @param settings those of the start of the process
 * @param liveSettings those in force, for values that a reload may change
 * @param incarnation start time in milliseconds since the epoch, so it grows with each start
 * @param eventLoops event loops of all connections and timers
 * @param worker runs checks that take longer than an event loop may be held
 * @param clock monotonic nanoseconds
 * @param random safe for use by several threads, seeded differently in each process
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
