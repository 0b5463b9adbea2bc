#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. KEEP_LOGS=1 keeps the settings and logs of the programs.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/release/review-standins ] || { echo "run review/build.sh first" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
# The stand-ins end with this script, and the programs that they start end with them.
trap '[ -n "${KEEP_LOGS:-}" ] || rm -rf "$temporary"' EXIT
trap 'kill "$player" 2> /dev/null; exit 2' INT TERM HUP
target/review/release/review-standins through-another review/1 "$temporary" "${TROUBLE:-1}" &
player=$!
wait "$player"
code=$?
[ -z "${KEEP_LOGS:-}" ] || echo "logs are in $temporary"
[ "$code" -le 1 ] || code=2
exit "$code"
