#!/bin/sh
# Runs the commands of README.md that CI does not run as such, and checks that
# the make targets and subcommands named in the pages exist.
cd "$(dirname "$0")/.." || exit 1
ctl=${BUILD:-build}/ibisrailctl
pages="README.md CONTRIBUTING.md $(echo docs/*.md)"
limit_s=180
failed=0

fail() {
	echo "FAIL $*"
	failed=1
}

sed -n 's/^    \(\(make\|build\/\)[^#]*[^# ]\) *\(#.*\)*$/\1/p' README.md \
    >build/commands
while read -r command; do
	case $command in
	"make install-packages"|"make -j4 all"|"make check") continue ;;
	esac
	timeout -k 5 $limit_s sh -c "$command" >build/command.log 2>&1 </dev/null
	code=$?
	[ $code -eq 0 ] && echo "ok $command" && continue
	tail -n 30 build/command.log
	fail "$command: exit code $code"
done <build/commands
[ -s build/commands ] || fail "no commands found in README.md"

for target in $(grep -ohE '(^    |`)make [a-z0-9 -]+' $pages | tr -d '`' |
    sed 's/.*make//; s/ -j[0-9]*//; s/  .*//' | sort -u); do
	make -n "$target" >/dev/null 2>&1 ||
		fail "no target '$target', named in the pages"
done
for word in $(grep -ohE 'ibisrailctl [a-z]+' $pages |
    sed 's/ibisrailctl //' | sort -u); do
	"$ctl" --help 2>&1 | grep -qE "\b$word\b" ||
		fail "no subcommand '$word', named in the pages"
done
exit $failed
