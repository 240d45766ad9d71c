#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/target. Needs a JDK 17 and nothing else.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes standins/*.java
