#!/usr/bin/env bash
# The stand-ins of the cases are Python programs; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
