#!/usr/bin/env bash
# Runs clang-tidy over the sources. A file whose preprocessed content has not
# changed since it last passed is skipped, so a second run takes seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
export LINT_CACHE="${XDG_CACHE_HOME:-$HOME/.cache}/galenaflow-lint"
export LINT_BUILD=$build
mkdir -p "$LINT_CACHE"

lint_one() {
  local file=$1 key command log
  command=$(python3 - "$LINT_BUILD/compile_commands.json" "$file" <<'PY'
import json, os, shlex, sys
entries = json.load(open(sys.argv[1]))
path = os.path.abspath(sys.argv[2])
for entry in entries:
    if os.path.abspath(os.path.join(entry["directory"], entry["file"])) == path:
        words = shlex.split(entry["command"])
        words = [w for w in words if not w.endswith("ccache")]
        end = words.index("-o")
        print(" ".join(shlex.quote(w) for w in words[:end] if w != "-c"))
        break
PY
  )
  [ -n "$command" ] || { echo "not in the build: $file" >&2; return 1; }
  key=$({ cat .clang-tidy; $command -E -P "$file" 2>/dev/null; } | sha256sum | cut -d' ' -f1)
  [ -e "$LINT_CACHE/$key" ] && return 0
  log=$(clang-tidy --quiet -p "$LINT_BUILD" "$file" 2>/dev/null) ||
    { printf '%s\n' "$log"; return 1; }
  touch "$LINT_CACHE/$key"
}
export -f lint_one

if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cc' | grep -v '_generated')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -P "$(nproc)" -I{} bash -c 'lint_one "$1"' _ {}
