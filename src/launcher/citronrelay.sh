#!/bin/sh
# Starts citronrelay on a JDK 25 or newer: JAVA_HOME first, then the usual folders, then the path.
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
# An entry process and the operators' tools are small; the tools that hold many processes in one are not.
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
