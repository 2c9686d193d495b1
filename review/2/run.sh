#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
case "${TROUBLE:-1}" in
0) export TROUBLE=0 ;;
*) export TROUBLE=1 ;;
esac
exec "$here/../run-case.sh" ManyEnds "$here"
