package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.ErrorKind;
import io.foxtaildoor.common.FoxtaildoorException;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

/** Sends HTTP requests to nodes. */
final class NodeCalls {
  private NodeCalls() {}

  /**
   * Sends a request and waits for the response.
   *
   * @param node address of the node, for error messages
   * @throws FoxtaildoorException if the node does not answer or the thread is interrupted
   */
  static <T> HttpResponse<T> send(
      HttpClient client, HttpRequest request, HttpResponse.BodyHandler<T> handler, String node) {
    try {
      return client.send(request, handler);
    } catch (IOException e) {
      throw new FoxtaildoorException(
          ErrorKind.NODE_UNREACHABLE, "node " + node + " does not answer: " + e, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new FoxtaildoorException(ErrorKind.CANCELLED, "interrupted", e);
    }
  }
}
