#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python programs of
# this repository (review/standin-2 and testsuite/soak) and need no packages
# beside python3, which the project's tests use too. Checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'PY'
import glob
import sys
if sys.version_info < (3, 11):
    sys.exit("python3 3.11 or newer is needed")
for name in sorted(glob.glob("review/standin-2/*.py") +
                   glob.glob("review/[6-9]/*.py") +
                   glob.glob("review/10/*.py") +
                   ["testsuite/soak/" + each + ".py"
                    for each in ("judge", "standins", "wire")]):
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
    print("checked", name)
PY
