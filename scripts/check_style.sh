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

# A source is linted again only when it, a header that it includes or the
# linter's settings have changed since its last clean run on this machine.
stamps=${KCR_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/kingcuprudder-lint}
mkdir -p "$stamps"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
    'kingcuprudder/*.cpp' 'tools/*.cpp' 'stand_ins/*.cpp' \
    'performance_test/*.cpp' 'platform/*.cpp' 'soak/*.cpp')
header_sums=$(git ls-files --cached --others --exclude-standard '*.hpp' |
    sort | xargs sha1sum)
# Prints a line for each source: the source and a key of the headers that the
# build found in it, or of all headers if the build does not know the source.
source_keys()
{
    ninja -C "$build" -t deps | awk -v root="$PWD/" '
        /#deps/ { source = ""; next }
        NF == 1 {
            path = $1
            sub("^" root, "", path)
            sub(/^(\.\.\/)+/, "", path)
            if (source == "") { source = path }
            else { print source, path }
        }' | sort -u |
    awk -v all_headers="$(echo "$header_sums" | sha1sum | cut -c1-40)" '
        FILENAME == "-" { keys[$1] = keys[$1] sums[$2]; next }
        NF == 2 { sums[$2] = $1; next }
        { print $1, ($1 in keys) ? keys[$1] : all_headers }' \
        <(echo "$header_sums") - <(printf '%s\n' "${sources[@]}")
}
lint_source()
{
    local stamp
    stamp=$2/$( (echo "$4"; cat .clang-tidy "$3") | sha1sum | cut -c1-40)
    [ -e "$stamp" ] && return 0
    clang-tidy -p "$1" --quiet "$3" 2>/dev/null && touch "$stamp"
}
export -f lint_source
source_keys |
    xargs -P "$(nproc)" -L 1 bash -c 'lint_source "$@"' _ "$build" "$stamps"
echo "linter: clean"
