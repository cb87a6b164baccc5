#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" --release 25 -d target/review review/standins/*.java review/*/Case*.java
