#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases 11 to 15; needs a JDK 17 and no other library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/standin-3/*.java
echo "built target/review-3"
