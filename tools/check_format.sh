#!/usr/bin/env bash
# Fails when a source file differs from what clang-format would write. `--fix` rewrites them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/' \
    | xargs -r clang-format "${mode[@]}"
