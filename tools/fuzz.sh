#!/usr/bin/env bash
# Runs every fuzz target for a number of runs, starting from the committed
# corpus. A failing input is written to BUILD/fuzz/NAME; add it to the corpus
# with the fix.
# Usage: tools/fuzz.sh BUILD RUNS [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
export FUZZ_BUILD=$1 FUZZ_RUNS=$2
jobs=${3:-2}

run_target() {
  local name=$1 out=$FUZZ_BUILD/fuzz/$1
  # A fixed seed, no inputs of earlier runs and no time limit make the runs of
  # one build reproducible.
  rm -rf "$out/corpus"
  mkdir -p "$out/corpus"
  "$FUZZ_BUILD/${name}_fuzz" -seed=1 -runs="$FUZZ_RUNS" -max_len=4096 \
    -rss_limit_mb=1024 -artifact_prefix="$out/" "$out/corpus" \
    "tests/fuzz/corpus/$name" >"$out/log" 2>&1 || {
    printf 'FAILED %s\n' "$name"
    tail -n 60 "$out/log"
    return 1
  }
  printf 'passed %s: %s\n' "$name" "$(grep -a '^Done' "$out/log")"
}
export -f run_target

printf '%s\0' tests/fuzz/corpus/*/ |
  xargs -0 -n1 -P "$jobs" bash -c 'run_target "$(basename "$1")"' _
