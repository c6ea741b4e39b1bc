#!/usr/bin/env bash
# Compiles the stand-ins and drivers of the review into review/target; uses the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target standins/*.java
