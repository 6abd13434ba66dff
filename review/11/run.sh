#!/usr/bin/env bash
# A core machine is replaced as planned; then another one loses its disk.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand-3 ] && [ -x target/chervilvaned ] || { echo "run the build of deploy/system.toml and review/build-3.sh first" >&2; exit 2; }
exec target/review-3/stand-3 replace-wipe review/11 target/chervilvaned
