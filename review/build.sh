#!/usr/bin/env bash
# Build the stand-ins of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q mesh.py [1-5]
