package io.foxtaildoor.request.retry;

/** Where a request began. */
public enum RequestOrigin {
  /** A client of the mesh. */
  CLIENT,
  /** An upstream, which makes the call while it works on another request. */
  UPSTREAM
}
