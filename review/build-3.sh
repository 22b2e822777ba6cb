#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The daemons are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3
