#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are scripts for Python's standard library, so
# there is nothing to fetch: this checks that the interpreter is there and that it can compile them.
# The courier itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in lib-2/*.py [0-9]*/case.py; do
    [ -f "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
