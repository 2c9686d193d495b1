#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" ManyEnds "$(cd "$(dirname "$0")" && pwd)"
