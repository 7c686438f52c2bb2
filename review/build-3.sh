#!/bin/sh
# Checks that the stand-ins of review/11 and later can run. They are Python without dependencies, so nothing is
# compiled and nothing is fetched; the programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -c 'import asyncio, base64, json, struct, urllib.parse'
