#!/bin/sh
# The stand-ins are Python programs that use the standard library alone: nothing has to be compiled.
# This checks that they can be read by the interpreter that run.sh uses.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
