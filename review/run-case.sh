#!/usr/bin/env bash
# Runs one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# The stand-ins read TROUBLE (review.Case): 0 does the same without the disruption.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d review/target/classes ] || [ ! -f target/cornelcove.jar ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
exec java -Xmx400m -cp review/target/classes:target/cornelcove.jar "review.$1" "$2"
