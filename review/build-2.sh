#!/usr/bin/env bash
# Builds the stand-ins that the cases of REPORT-2.md start. They are Python scripts of the standard library alone, so
# they are only checked. The forwarder is built by the command of the deploy file.
set -e
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here" python3 -c "import sys, tomllib, standins2; assert sys.version_info >= (3, 11)"
echo "stand-ins are ready"
