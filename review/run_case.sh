#!/bin/sh
# run_case.sh CASE FOLDER, in the root of the repository: runs a case of the stand-ins. Whatever ends it
# early, the processes that it has started end too.
[ -x target/review/standin ] && [ -x target/release/limpetloom ] || exit 2
ulimit -S -n 8192 2>/dev/null || ulimit -S -n "$(ulimit -H -n)"
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
target/review/standin "$1" "$2" &
standin=$!
end_all() {
    kill -9 "$standin" 2>/dev/null
    wait "$standin" 2>/dev/null
    while read -r pid; do
        kill -9 "$pid" 2>/dev/null
    done <"$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
    exit 2
}
trap end_all HUP INT TERM
wait "$standin"
code=$?
rm -f "$REVIEW_PIDS"
exit "$code"
