#!/usr/bin/env bash
# Checks the format, the linter and the include rule of the core library.
# Usage: check_style.sh BUILD_DIR (holds compile_commands.json)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t files < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' '*.hpp')
clang-format --dry-run --Werror "${files[@]}"
echo "format: clean"

core=(kingcuprudder/base kingcuprudder/topology kingcuprudder/settings
      kingcuprudder/placement kingcuprudder/region kingcuprudder/request
      kingcuprudder/membership kingcuprudder/history)
banned='#include <(chrono|thread|mutex|condition_variable|atomic|fstream|filesystem|iostream|cstdio|ctime|time\.h|sys/.*|netinet/.*|arpa/.*|unistd\.h|fcntl\.h|poll\.h|pthread\.h|httplib\.h|nghttp2/.*|log4cplus/.*|prometheus/.*|nlohmann/json\.hpp)>'
if grep -rnE "$banned" "${core[@]}"; then
    echo "core: includes a socket, file, thread or clock header" >&2
    exit 1
fi
echo "core includes: clean"

mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    'kingcuprudder/*.cpp' 'tools/*.cpp' 'stand_ins/*.cpp' \
    'performance_test/*.cpp')
printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
echo "linter: clean"
