#!/bin/sh
# Builds the stand-ins of cases 6 to 10: Python files without dependencies.
cd "$(dirname "$0")" && exec python3 -m compileall -q standins-2
