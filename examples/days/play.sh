#!/usr/bin/env bash
# Plays a day for each trouble of kinds.txt on a site. See README.md.
set -euo pipefail
bench=${FLEETBENCH:?set FLEETBENCH to the path of the program}
site=${1:?name a site file}
pattern=${2:-.}
second=${SECOND:-10}
seed=${SEED:-1}
read -ra flags <<<"${FLAGS:-}"
here=$(cd "$(dirname "$0")" && pwd)
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# strike AT ENTRY writes the entry as it strikes at a time; @N in it is N seconds later.
strike() {
  local entry=$2 later
  for later in 0 1 2 3 4 5; do
    entry=${entry//@$later/$(($1 + later)).0}
  done
  echo "  { at = $1.0, $entry },"
}

# day NAME ENTRY writes a day in which the entry strikes twice.
day() {
  cat <<DAY
name = "$1"
seed = $seed
plan = [
  { at = 3.0, kind = "config_storm", gap_s = 0.5, for_s = 20.0, how = "idle" },
  { at = 6.2, kind = "config_race", count = 6, gap_s = 1.5 },
  { at = 6.5, kind = "scale_in", share = 0.1 },
]
faults = [
$(strike 6 "$2")
$(strike $((6 + second)) "$2")
]
closing = { kind = "kill_all", down_s = 0.8 }
DAY
}

broken=0
played=0
while read -r name entry; do
  day "$name" "$entry" >"$folder/$name.toml"
  output=$("$bench" run "$site" "$folder/$name.toml" "${flags[@]}" --why "${WHY:-days of our own}: $name" 2>&1) || true
  line=$(grep -E "^$name +[0-9]+/[0-9]+ " <<<"$output" | head -1 | cut -c1-200)
  echo "${line:-$name: not played: $(tail -3 <<<"$output" | tr '\n' ' ')}"
  played=$((played + 1))
  if grep -qE "BROKEN|FAULT" <<<"$output"; then
    broken=$((broken + 1))
    grep -E "^[A-Z]+ at " <<<"$output" | head -3
  fi
done < <(grep -E "$pattern" "$here/kinds.txt")
echo "$played days, $broken broken"
