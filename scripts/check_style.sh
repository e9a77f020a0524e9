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
      kingcuprudder/membership kingcuprudder/history
      kingcuprudder/dispatch)
banned='#include <(chrono|thread|mutex|condition_variable|atomic|fstream|filesystem|iostream|cstdio|ctime|time\.h|sys/.*|netinet/.*|arpa/.*|unistd\.h|fcntl\.h|poll\.h|pthread\.h|httplib\.h|nghttp2/.*|log4cplus/.*|prometheus/.*)>'
if grep -rnE "$banned" "${core[@]}"; then
    echo "core: includes a socket, file, thread or clock header" >&2
    exit 1
fi
echo "core includes: clean"

# The platform's names stay in its adapter, the stand-ins and their tests.
platform_names='kv-(key|range|watch|txn|lease|keep)|fencingToken|lastSeen|run-start|run-stop|"deadlineMs"|drainRemainingMs|requiredLabel|KINGCUPRUDDER_BOOT'
if git grep -nIE "$platform_names" -- '*.cpp' '*.hpp' ':!platform/*' \
    ':!stand_ins/*' ':!unit_tests/*'; then
    echo "a name of the platform stands outside platform/" >&2
    exit 1
fi
echo "platform names: in platform/ only"

# A source is linted again only when it, a header or the linter's settings have
# changed since its last clean run on this machine.
stamps=${KCR_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/kingcuprudder-lint}
mkdir -p "$stamps"
headers=$(git ls-files --cached --others --exclude-standard '*.hpp' \
    .clang-tidy | sort | xargs cat | sha1sum)
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    'kingcuprudder/*.cpp' 'tools/*.cpp' 'stand_ins/*.cpp' \
    'performance_test/*.cpp' 'platform/*.cpp' 'soak/*.cpp')
lint_source()
{
    local stamp
    stamp=$2/$( (echo "$3"; echo "$4"; cat "$4") | sha1sum | cut -c1-40)
    [ -e "$stamp" ] && return 0
    clang-tidy -p "$1" --quiet "$4" 2>/dev/null && touch "$stamp"
}
export -f lint_source
printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -I{} bash -c 'lint_source "$@"' _ \
        "$build" "$stamps" "$headers" {}
echo "linter: clean"
