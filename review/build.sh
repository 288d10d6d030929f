#!/bin/sh
# The stand-ins need no build: review/standins.py uses Python's standard library only. This builds the forwarder by the
# deploy file's command, if it has not been built yet.
set -eu
cd "$(dirname "$0")/.."
[ -x target/bin/wisteriadock-forwarder ] && exit 0
exec sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
