#!/usr/bin/env bash
# Compiles the stand-ins of the cases. Needs the JDK and target/cornelcove.jar, of which they use the JSON parser only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -encoding UTF-8 -cp ../target/cornelcove.jar -d target/classes standins/review/*.java
