#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk
rm -rf target/review/classes-3
mkdir -p target/review/classes-3
find review/standins-3 -name '*.java' -print0 |
	xargs -0 "$JAVA_HOME/bin/javac" --release 25 -d target/review/classes-3 -cp target/citronrelay.jar
