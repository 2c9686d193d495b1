#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" LostLeaveAck "$(cd "$(dirname "$0")" && pwd)"
