#!/usr/bin/env bash
# Fails if clang-format would change a source file. `--fix` reformats the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/' \
    | xargs -r clang-format "${mode[@]}"
