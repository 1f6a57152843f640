#!/usr/bin/env bash
# usage: run-case.sh CLASS FOLDER DISRUPTIONS
# Runs a case with a time limit and ends what it has started. Exit: 1 rule broken, 0 rule held, 2 could not run.
set -uo pipefail
repository="$(cd "$(dirname "$0")/../.." && pwd)"
folder="$(cd "$2" && pwd)"
[ -f "$repository/target/banyanstair.jar" ] && [ -f "$repository/target/review-2/$1.class" ] || {
    echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
}
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
# The driver ends its hosts when it exits; SIGTERM at the time limit lets it do so.
timeout -k 5 110 "${JAVA_HOME:+$JAVA_HOME/bin/}java" -cp "$repository/target/review-2" "$1" \
    "$repository" "$work" "$folder/record.txt" "$3"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$work" "$KEEP_LOGS"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
