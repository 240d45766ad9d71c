#!/usr/bin/env bash
# Compiles the stand-ins of the cases from 6 on into target/review-2. Needs the JDK only.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/standins-2/*.java
