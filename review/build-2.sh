#!/bin/sh
# Builds the stand-ins of the scripts of review/6 to review/10, into
# review/build/.
cd "$(dirname "$0")" || exit 2
mkdir -p build || exit 2
for case in 6 7 8 9 10; do
	[ -f "$case/case.c" ] || continue
	gcc -O1 -g -std=gnu11 -D_GNU_SOURCE -Wall -Wextra \
	    -Wno-unused-parameter -Iharness -o "build/case-$case" \
	    "$case/case.c" harness/harness.c -lpthread || exit 2
done
