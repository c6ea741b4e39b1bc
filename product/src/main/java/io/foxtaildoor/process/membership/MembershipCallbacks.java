package io.foxtaildoor.process.membership;

import io.foxtaildoor.version.manifest.VersionStamp;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Functions through which membership uses the rest of the node; none of them may block.
 *
 * @param heldVersion supplies the configuration version in force, which every datagram carries if
 *     it is above 0
 * @param versionListener receives the address of the sender and the configuration version of each
 *     datagram or notice that carries one
 * @param status supplies the status of the local node for status queries
 */
public record MembershipCallbacks(
    Supplier<VersionStamp> heldVersion,
    BiConsumer<InetSocketAddress, VersionStamp> versionListener,
    Supplier<NodeStatus> status) {}
