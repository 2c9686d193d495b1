#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" OtherWriter "$(cd "$(dirname "$0")" && pwd)"
