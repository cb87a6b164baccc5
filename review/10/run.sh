#!/usr/bin/env bash
# Runs the case late-count; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
(. bin/jdk) || exit 2
. bin/jdk
[ -d target/review-2 ] && [ -x target/runtime/bin/java ] || { echo "Run bin/deploy-build and review/build-2.sh first." >&2; exit 2; }
timeout 115 "$JAVA_HOME/bin/java" -Xmx512m -cp target/review-2:target/citronrelay.jar \
	org.citronrelay.soak.ReviewCase late-count review/10
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
