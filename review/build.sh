#!/bin/sh
# The stand-ins are Python scripts without dependencies: nothing is compiled.
# Checks that they can be read, and that the deploy file's build has run.
set -e
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
[ -d target/deps ] || { echo "target/deps is missing: build first" >&2; exit 1; }
