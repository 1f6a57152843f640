#!/bin/sh
# Checks the stand-ins that the scripts start. They are Python files that run as they are, so nothing is compiled;
# the hosts are built by the build of the deploy file.
cd "$(dirname "$0")" || exit 1
for file in stand_ins/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
