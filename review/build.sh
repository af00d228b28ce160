#!/usr/bin/env bash
# Builds what the scripts start beside the project's programs. All stand-ins use
# the standard library only, so that it is enough to compile them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q support 1 2 3 4 5
