#!/bin/sh
# Checks that the stand-ins of review/6 to review/10 can run. They are Python without dependencies,
# so nothing is compiled; the programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -c 'import asyncio, tomllib'
