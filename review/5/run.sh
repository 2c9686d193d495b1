#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" LateLeave "$(cd "$(dirname "$0")" && pwd)"
