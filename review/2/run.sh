#!/usr/bin/env bash
# The last keys that the manifest holds are taken away.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec java -cp review/target/classes review.LastKeys review/2
