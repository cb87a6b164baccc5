#!/bin/sh
# Starts citronrelay with Java 25 or newer, looked for in JAVA_HOME, then in /usr/lib/jvm, then on the PATH.
major() {
	"$1" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}
java=
for candidate in "${JAVA_HOME:-/nonexistent}/bin/java" /usr/lib/jvm/*25*/bin/java "$(command -v java)"; do
	[ -x "$candidate" ] || continue
	version=$(major "$candidate")
	if [ "${version:-0}" -ge 25 ]; then
		java=$candidate
		break
	fi
done
if [ -z "$java" ]; then
	echo "citronrelay: no JDK 25 found. Install one and set JAVA_HOME to its folder." >&2
	exit 3
fi
# Entry processes and client commands need little memory; demo and bench run many processes in one JVM.
heap=48m
compiler=-XX:TieredStopAtLevel=1
cache=16m
case ${1:-} in
demo | bench)
	heap=1g
	compiler=-XX:+TieredCompilation
	cache=64m
	;;
esac
exec "$java" --sun-misc-unsafe-memory-access=allow -XX:-UsePerfData -XX:+UseSerialGC -XX:+UseCompactObjectHeaders "$compiler" -Xss256k \
	-XX:ReservedCodeCacheSize=$cache -Xmx$heap ${CITRONRELAY_JAVA_OPTS:-} -jar "$0" "$@"
exit 127
