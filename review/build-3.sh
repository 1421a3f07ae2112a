#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are
# Python sources without dependencies, so it only checks that they compile.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/common-3 review/1[1-5]
