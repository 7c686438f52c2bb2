#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that need only the standard library, so nothing
# is compiled or fetched. Checks that the interpreter and the program of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
test -x target/packages/entry/sycamorehinged
