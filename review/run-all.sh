#!/usr/bin/env bash
# Plays the review cases and prints for each whether its rule held. Takes the
# cases' numbers; without any it plays all. Needs the build of the deploy file.
# JOBS is how many cases run side by side (default 1). The cases are played in a
# copy, so the records in the repository stay as they are; the new ones are in
# the folder that is printed last. Exits with 1 if a case could not run.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-1}
if [ $# -gt 0 ]; then
    cases=("$@")
else
    mapfile -t cases < <(find review -maxdepth 1 -name '[0-9]*' -printf '%f\n' | sort -n)
fi

copy=$(mktemp -d /tmp/kcr-review-all-XXXXXX)
cp -r review deploy "$copy"
ln -s "$PWD/target" "$copy/target"

# Plays one case in the copy and prints its result on one line.
play() {
    local folder=$1/review/$2 code=0 last result="could not run"
    "$folder/run.sh" >"$folder/output.txt" 2>&1 || code=$?
    last=$(tail -n 1 "$folder/output.txt")
    if [ "$code" = 0 ]; then
        result="held"
    # Python also exits with 1 after an error of the script itself.
    elif [ "$code" = 1 ] && [[ $last == *broken* ]]; then
        result="broken"
    fi
    echo "$result" >"$folder/result.txt"
    printf 'review/%-3s %s (exit code %s: %s)\n' "$2" "$result" "$code" "$last"
}
export -f play
# shellcheck disable=SC2016
printf '%s\n' "${cases[@]}" | xargs -P "$jobs" -I '{}' bash -c 'play "$1" "$2"' play "$copy" '{}'

not_run=()
for number in "${cases[@]}"; do
    case $(cat "$copy/review/$number/result.txt" 2>/dev/null) in
    held | broken) ;;
    *) not_run+=("review/$number") ;;
    esac
done
echo "Records: $copy/review"
if [ ${#not_run[@]} -gt 0 ]; then
    echo "Could not run: ${not_run[*]}"
    exit 1
fi
