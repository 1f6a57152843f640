#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac="${JAVA_HOME:+$JAVA_HOME/bin/}javac"
"$javac" -nowarn -d target/review-2 review/stand_ins_2/*.java
