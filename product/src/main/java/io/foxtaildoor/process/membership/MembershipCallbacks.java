package io.foxtaildoor.process.membership;

import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * What membership needs from the rest of the node; none of the functions may block.
 *
 * @param heldVersion the configuration version in force, carried by every datagram
 * @param versionListener receives the version in each datagram with its sender
 * @param status what the node reports of itself
 */
public record MembershipCallbacks(
    Supplier<VersionStamp> heldVersion,
    BiConsumer<InetSocketAddress, VersionStamp> versionListener,
    Supplier<NodeStatus> status) {}
