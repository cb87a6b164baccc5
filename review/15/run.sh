#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
. bin/jdk || exit 2
[ -d target/review/classes-3 ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$JAVA_HOME/bin/java" -Xmx1g -cp target/review/classes-3:target/citronrelay.jar \
	org.citronrelay.review3.LateHandIn review/15/record.txt "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
