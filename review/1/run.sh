#!/usr/bin/env bash
# Hundreds of changes of the manifest, then all processes of the core are killed.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec java -cp review/target/classes review.HundredsOfChanges review/1
