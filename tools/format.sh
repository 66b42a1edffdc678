#!/usr/bin/env bash
# Formats all sources, or with --check fails when one is not formatted.
# Generated code is excluded.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h' | grep -v '_generated\.h$')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
