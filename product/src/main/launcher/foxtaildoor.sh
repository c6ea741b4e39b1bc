#!/bin/sh
# Starts the product from this one file: the jar follows this script.
if ! command -v "${JAVA:-java}" >/dev/null 2>&1; then
  echo "foxtaildoor: no Java runtime found; install a JDK 17 or later, or set JAVA" >&2
  exit 1
fi
export MALLOC_ARENA_MAX="${MALLOC_ARENA_MAX:-1}"
exec "${JAVA:-java}" ${FOXTAILDOOR_JAVA_OPTS:--XX:+UseSerialGC -Xmx40m -Xss512k -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=24m -XX:+ExitOnOutOfMemoryError} \
  -jar "$0" "$@"
exit 1
