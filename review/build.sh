#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The deploy file's build must have run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp 'target/pollensill-coordinator/lib/*' review/standin/*.java
