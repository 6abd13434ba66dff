#!/bin/sh
# Plays the case. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/review-stand ] || [ ! -x target/chervilvaned ]; then
	echo "build the deploy file and review/build.sh first" >&2
	exit 2
fi
exec target/review-stand refused "$folder"
