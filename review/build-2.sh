#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2. Needs the build of the deploy
# file. The store is the project's own stand-in of its soak tests.
set -eu
cd "$(dirname "$0")/.."
. bin/jdk
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
soak=src/test/java/org/citronrelay/soak
"$JAVA_HOME/bin/javac" --release 25 -nowarn -d "$out" -cp target/citronrelay.jar \
	$(find "$soak" -name '*.java' ! -name '*Tests.java') review/standins-2/*.java
