#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -Werror -d target/review-2 review/standin-2/*.java
