#!/usr/bin/env bash
# Builds every stand-in that a script of this review starts. They are Python
# programs without dependencies, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py $(find . -path './[6-9]/play.py' -o -path './10/play.py'); do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
