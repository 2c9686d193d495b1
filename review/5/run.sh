#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" Crashes "$(cd "$(dirname "$0")" && pwd)"
