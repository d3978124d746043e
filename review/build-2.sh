#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python scripts, those of the
# project's own harness (testsuite/harness) among them, so that nothing is compiled;
# this checks that the interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import sys
sys.path.insert(0, "review/standins-2")
import deployment
print("stand-ins of the second review load")
PY
