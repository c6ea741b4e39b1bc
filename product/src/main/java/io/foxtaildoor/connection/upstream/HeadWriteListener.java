package io.foxtaildoor.connection.upstream;

import io.foxtaildoor.connection.upstream.UpstreamConnection.ExchangeListener;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;

/** Distinguishes a request head of which no byte reached the socket from a partly written one. */
final class HeadWriteListener implements ChannelProgressiveFutureListener {
  private final UpstreamConnection connection;
  private final ExchangeListener exchange;
  private final boolean end;
  private boolean firstByteReported;

  /**
   * Creates the listener of one request head.
   *
   * @param end whether the request has no body
   */
  HeadWriteListener(UpstreamConnection connection, ExchangeListener exchange, boolean end) {
    this.connection = connection;
    this.exchange = exchange;
    this.end = end;
  }

  @Override
  public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
    if (progress > 0) {
      reportFirstByte();
    }
  }

  private void reportFirstByte() {
    if (!firstByteReported) {
      firstByteReported = true;
      exchange.firstByteWritten();
    }
  }

  @Override
  public void operationComplete(ChannelProgressiveFuture future) {
    if (future.isSuccess()) {
      reportFirstByte();
      connection.headWritten(exchange, end);
    } else if (!firstByteReported) {
      connection.requestNotWritten(exchange, future.cause());
    } else {
      connection.fail(future.cause());
    }
  }
}
