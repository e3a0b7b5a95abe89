#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out both
# disruptions, TROUBLE=cut the kill alone.
here=$(cd "$(dirname "$0")" && pwd -P) || exit 2
root=$(cd "$here/../.." && pwd -P) || exit 2
[ -x "$root/target/lotusferry" ] && [ -x "$root/review/.build/fleet" ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
"$root/review/.build/fleet" -case tunnel -binary "$root/target/lotusferry" -record "$here/record.txt" -folder "$folder"
result=$?
[ "$result" -le 1 ] || result=2
# Normally none is left: the program ends them itself.
while read -r pid; do
	[ "$(readlink "/proc/$pid/exe")" = "$root/target/lotusferry" ] && kill -9 "$pid"
done 2>/dev/null < "$folder/pids"
rm -rf "$folder"
exit $result
