#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python programs that use the
# standard library only, so that there is nothing to compile; the check finds a
# missing or too old interpreter before a case is played.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "build.sh: python3 is missing" >&2; exit 1; }
python3 - standins/*.py */play.py <<'CHECK'
import sys

if sys.version_info < (3, 8):
    sys.exit("build.sh: python3 is older than 3.8")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
CHECK
[[ -x ../target/fescuewood ]] || echo "build.sh: target/fescuewood is not built yet; run the build of deploy/system.toml" >&2
