#!/bin/sh
# Checks deploy/system.toml: its build command leaves the program under target/,
# the program knows the options of its command line, and packages, template and
# metrics port are those of the rest of the tree.
cd "$(dirname "$0")/.." || exit 1
failed=0

fail() {
	echo "FAIL $*"
	failed=1
}

value() {
	sed -n "s/^$1 = \"\(.*\)\"\$/\1/p" deploy/system.toml
}

mkdir -p build
sh -c "$(value build)" >build/deploy.log 2>&1 || {
	tail -n 30 build/deploy.log
	fail "the build command of deploy/system.toml"
}
set -- $(value run)
program=$1
shift
case $program in
target/*) [ -x "$program" ] || fail "$program is not built" ;;
*) fail "$program is not under target/" ;;
esac
for word; do
	option=${word%%=*}
	"$program" --help 2>&1 | grep -q -e "$option" ||
		fail "$program does not know $option"
done
[ -f "$(value template)" ] || fail "no file $(value template)"
port=$(value metrics)
grep -q ":${port%%/*}\"" "$(value template)" ||
	fail "the template has no metrics listener at port ${port%%/*}"
for package in $(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml |
    tr -d '",'); do
	grep -qw -e "$package" apt-packages.txt ||
		fail "$package is not in apt-packages.txt"
done
[ $failed -eq 0 ] && echo "ok deploy"
exit $failed
