#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standins-3/*.java
