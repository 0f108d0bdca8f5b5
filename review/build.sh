#!/usr/bin/env bash
# Builds what the scripts start beside the programs of the deploy file. All
# stand-ins are Python programs of this folder that need the standard library only,
# so this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in support/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
