#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" RepeatedGang "$(cd "$(dirname "$0")" && pwd)"
