#!/usr/bin/env bash
# Checks every model of this directory with spin, and that spin catches each of its
# broken variants. Prints one line for each run; exits with 1 when one is not as it
# must be. Takes no argument; JOBS sets how many run at once (4).
#
# A model says in its comment what is run:
#   check OPTIONS                            a search of the whole state space
#   liveness NAME OPTIONS                    the same for an LTL formula, weakly fair
#   broken NAME breaks INVARIANT OPTIONS     with -DBROKEN_NAME, must break INVARIANT
set -uo pipefail
cd "$(dirname "$0")"
source_directory=$PWD
readonly source_directory
readonly memory_limit=1800 # MB for all searches at once
readonly depth_limit=200000
readonly jobs=${JOBS:-4}
readonly time_limit=300 # seconds for one search: only against one that hangs

for tool in spin gcc; do
  if ! command -v "$tool" >/dev/null; then
    echo "$tool is missing: install it (apt-get install $tool)" >&2
    exit 1
  fi
done
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# build DIRECTORY MODEL KIND OPTIONS...: makes DIRECTORY/pan.
build() {
  local directory=$1 model=$2 kind=$3
  shift 3
  local flags=(-DSAFETY -DNOFAIR)
  if [ "$kind" = liveness ]; then
    flags=(-DNFAIR=4)
    set -- -DLIVENESS "$@"
  fi
  local optimize=-O1
  [[ "$*" = *BROKEN* ]] && optimize=-O0 # a short search is not worth a long compilation
  mkdir -p "$directory"
  cd "$directory" || return 1
  spin -a "$@" "$model" >spin.out 2>&1 &&
    gcc -w "$optimize" "${flags[@]}" "-DMEMLIM=$((memory_limit / jobs))" -o pan pan.c >>spin.out 2>&1
}

# search DIRECTORY KIND DEPTH: runs pan and prints its verdict: complete, broken
# INVARIANT, or incomplete.
search() {
  local directory=$1 kind=$2 depth=$3
  local flags=(-E)
  if [ "$kind" = liveness ]; then
    flags=(-a -f -E)
  fi
  cd "$directory" || return 1
  timeout "$time_limit" ./pan "-m$depth" "${flags[@]}" >pan.out 2>&1
  local status=$?
  if grep -q 'pan:1: assertion violated' pan.out; then
    echo "broken $(sed -n 's/.*assertion violated (*\([A-Za-z]*\).*/\1/p' pan.out | head -1)"
  elif grep -q 'pan:1: acceptance cycle' pan.out; then
    echo "broken cycle"
  elif [ $status -ne 0 ] || grep -qE 'Search not completed|max search depth too small|out of memory|reached -DMEMLIM' pan.out ||
    ! grep -q 'errors: 0' pan.out; then
    echo incomplete
  else
    echo complete
  fi
}

# run_one NAME MODEL KIND EXPECTED DEPTH OPTIONS...: one search; prints a line and
# fails when the verdict is not the expected one.
run_one() {
  local name=$1 model=$2 kind=$3 expected=$4 depth=$5
  shift 5
  local directory=$work/$name verdict started=$EPOCHREALTIME
  if build "$directory" "$source_directory/$model.pml" "$kind" "$@"; then
    verdict=$(search "$directory" "$kind" "$depth")
  else
    verdict="unusable: $(tail -1 "$directory/spin.out")"
  fi
  local seconds states reached result=ok
  seconds=$(awk "BEGIN {printf \"%.1f\", $EPOCHREALTIME - $started}")
  states=$(awk '/states, stored/ {print $1; exit}' "$directory/pan.out" 2>/dev/null)
  reached=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$directory/pan.out" 2>/dev/null | head -1)
  [ "$verdict" = "$expected" ] || result="FAIL, expected $expected"
  printf '%-46s %9s states  depth %6s  %5s s  %s: %s\n' "$name" "${states:--}" "${reached:--}" "$seconds" "$verdict" "$result"
  rm -rf "$directory"
  [ "$result" = ok ]
}

# list_runs MODEL: one line for each run that the model's comment asks for.
list_runs() {
  local model=$1
  sed -n 's/^ \* check\( .*\)\{0,1\}$/\1/p' "$model.pml" | awk -v m="$model" '{sub(/ *$/, ""); print m "." NR, m, "safety complete", $0}' | trim
  sed -n 's/^ \* liveness \(.*\)$/\1/p' "$model.pml" |
    awk -v m="$model" '{name = $1; $1 = ""; print m "." name, m, "liveness complete", $0}' | trim
  sed -n 's/^ \* broken \(.*\)$/\1/p' "$model.pml" | awk -v m="$model" '{
    name = $1; invariant = $3; $1 = $2 = $3 = ""
    kind = "safety"; verdict = "broken_" invariant
    if (invariant in live) { kind = "liveness"; verdict = "broken_cycle" }
    focus = kind == "safety" ? "-DFOCUS=" invariant : ""
    print m "." name, m, kind, verdict, "-DBROKEN_" name, focus, $0}
    BEGIN { while ((getline line < (m ".pml")) > 0) if (line ~ /^ \* liveness /) { split(line, part, " "); live[part[3]] = 1 } }' | trim
}

# trim drops blanks at the ends of lines, for which xargs would join them.
trim() { sed 's/[[:space:]]*$//'; }

# check_coverage MODEL: each invariant that the model declares has a broken variant,
# and each broken variant occurs in the model's text.
check_coverage() {
  local model=$1 failed=0 name
  for name in $(sed -n 's/^bool \([A-Z][A-Za-z]*\) = true.*/\1/p; s/^ltl \([A-Za-z]*\) .*/\1/p' "$model.pml"); do
    grep -q "^ \* broken .* breaks $name\b" "$model.pml" || { echo "$model: no broken variant for $name: FAIL"; failed=1; }
  done
  for name in $(sed -n 's/^ \* broken \([A-Z_]*\) .*/\1/p' "$model.pml"); do
    grep -q "^#.*BROKEN_$name\b" "$model.pml" || { echo "$model: BROKEN_$name changes nothing: FAIL"; failed=1; }
  done
  grep -q '^ \* check' "$model.pml" || { echo "$model: nothing to check: FAIL"; failed=1; }
  return $failed
}

# self_test: this script must notice a broken model, a search that was cut off, and a
# variant that breaks nothing. Each line below must fail.
self_test() {
  local failed=0 output
  while read -r what expected depth options; do
    # shellcheck disable=SC2086
    if output=$(run_one "self-test.$what" claims safety "$expected" "$depth" $options); then
      echo "$output: the check did not notice: FAIL"
      failed=1
    else
      printf '%-46s %s\n' "self-test.$what" "noticed: ${output##* s  }" | sed 's/: FAIL, expected/, not/'
    fi
  done <<'CASES'
broken-model complete 200000 -DBROKEN_NO_CLAIM
cut-off-search complete 5
harmless-variant broken 200000 -DBROKEN_NOTHING
other-invariant broken_AtMostOnce 200000 -DBROKEN_FORGET_RELEASED
syntax-error complete 200000 -DClaimHeld=
CASES
  return $failed
}

export -f build search run_one
export work source_directory memory_limit depth_limit jobs time_limit

started=$EPOCHREALTIME
failed=0
for model in *.pml; do
  check_coverage "${model%.pml}" || failed=1
done
for model in *.pml; do
  list_runs "${model%.pml}"
done >"$work/runs"
run_line() {
  local name=$1 model=$2 kind=$3 expected=${4/_/ }
  shift 4
  run_one "$name" "$model" "$kind" "$expected" "$depth_limit" "$@"
}
export -f run_line
# The searches of whole state spaces come first: they take longest.
{ grep ' complete' "$work/runs"; grep -v ' complete' "$work/runs"; } |
  xargs -P "$jobs" -L 1 bash -c 'run_line "$@"' run || failed=1
self_test || failed=1
runs=$(wc -l <"$work/runs")
awk "BEGIN {printf \"%d runs in %.1f s: \", $runs, $EPOCHREALTIME - $started}"
if [ "$failed" -ne 0 ]; then
  echo "FAIL"
  exit 1
fi
echo "all as they must be"
