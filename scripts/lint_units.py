"""Runs clang-tidy on every translation unit that changed since its last pass.

One unit takes up to 30 s, so passes are cached by a hash of the unit, the
project headers that the last build recorded for it and .clang-tidy.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "release"
CACHE = pathlib.Path(
    os.environ.get("CASSIAKEEL_LINT_CACHE",
                   pathlib.Path.home() / ".cache" / "cassiakeel-lint"))


def recorded_headers():
    """Project files by object file, from the dependency log of ninja."""
    output = subprocess.run(["ninja", "-C", str(BUILD), "-t", "deps"],
                            capture_output=True, text=True, check=True).stdout
    headers, current = {}, None
    for line in output.splitlines():
        if line.startswith("    "):
            path = (BUILD / line.strip()).resolve()
            if ROOT in path.parents:
                headers[current].append(path)
        elif line.strip():
            current = line.split(":")[0]
            headers[current] = []
    return headers


def key_of(unit, files):
    digest = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    digest.update(str(unit.relative_to(ROOT)).encode())
    for path in sorted({unit, *files}):
        digest.update(path.read_bytes())
    return digest.hexdigest()[:40]


def lint(unit):
    result = subprocess.run(
        ["clang-tidy", "--quiet", "-p", str(BUILD), str(unit)],
        capture_output=True, text=True, check=False)
    return result.returncode, result.stdout


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    headers = recorded_headers()
    todo = []
    for entry in json.loads((BUILD / "compile_commands.json").read_text()):
        unit = pathlib.Path(entry["file"]).resolve()
        if "generated" in unit.parts:
            continue
        files = headers.get(entry.get("output", ""), [])
        if not files:
            arguments = entry["command"].split()
            files = headers.get(arguments[arguments.index("-o") + 1], [])
        mark = CACHE / key_of(unit, files)
        if not mark.exists():
            todo.append((unit, mark))
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for (unit, mark), (code, text) in zip(
                todo, pool.map(lint, [unit for unit, _ in todo])):
            if code == 0:
                mark.touch()
            else:
                failed += 1
                print(text)
    print(f"lint: {len(todo)} units checked, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
