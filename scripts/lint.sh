#!/usr/bin/env bash
# Checks layers, format and lint. Arguments: files to check (default: all C++ files).
set -eu
cd "$(dirname "$0")/.."
scripts/install-deps.sh
[ -f build/compile_commands.json ] || cmake -S . -B build -G Ninja >/dev/null
FILES=("$@")
[ ${#FILES[@]} -gt 0 ] || mapfile -t FILES < <(git ls-files 'src/*.h' 'src/*.cpp' 'tests/*.h' 'tests/*.cpp' 'bench/*.h' 'bench/*.cpp')
scripts/check-layers.sh
clang-format --dry-run --Werror "${FILES[@]}"
printf '%s\n' "${FILES[@]}" | grep '\.cpp$' | xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "format and lint clean: ${#FILES[@]} files"
