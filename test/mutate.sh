#!/bin/sh
# Mutation test: applies each mutation of test/mutations.tsv to a copy of the
# tree and runs the test programs that the table names, one of which must fail.
#
# usage: test/mutate.sh [NAME...]   (only the mutations of these names)
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
table=$root/test/mutations.tsv
shards=3
jobs=2
warn=-std=gnu11
tab=$(printf '\t')

# Without SHARD: starts the shards and sums up their output.
if [ -z "${SHARD:-}" ]; then
	out=$root/build/mutations
	mkdir -p "$out"
	for i in $(seq $shards); do
		SHARD=$i sh "$root/test/mutate.sh" "$@" >"$out/$i.log" 2>&1 &
	done
	wait
	cat "$out"/*.log
	cat "$out"/*.log | awk '
	$1 == "caught" { c++ } $1 == "SURVIVED" { s++ } $1 == "equal" { e++ }
	$1 == "BROKEN" { b++ }
	END {
		printf "%d caught, %d survived, %d equivalent, %d broken\n",
		    c, s, e, b
		exit s + b != 0
	}'
	exit
fi
scratch=$root/build/mutations/$SHARD
mkdir -p "$scratch"
for part in src include platform test Makefile config.mk; do
	cp -R "$root/$part" "$scratch/"
done
cd "$scratch" || exit 1

build() {
	make -j"$jobs" WARN="$warn" "$@" >build.log 2>&1
}

# mutate FILE OLD NEW: OLD must be on exactly one line of the file.
mutate() {
	OLD=$2 NEW=$3 awk '
	BEGIN { old = ENVIRON["OLD"]; new = ENVIRON["NEW"] }
	{
		i = index($0, old)
		if (i != 0) {
			n++
			$0 = substr($0, 1, i - 1) new \
			    substr($0, i + length(old))
		}
		print
	}
	END { exit n != 1 }' "$root/$1" >"$1"
}

# mutate_also NAME: applies a further mutation of the table, in another file.
mutate_also() {
	[ -n "$1" ] || return 0
	row=$(grep "^$1$tab" "$table") || return 1
	also_file=$(echo "$row" | cut -f2)
	mutate "$also_file" "$(echo "$row" | cut -f3)" \
	    "$(echo "$row" | cut -f4)"
}

# first_failing PROGRAMS: runs test programs in turn, with fixed seeds, and
# prints the name of the first that fails.
first_failing() {
	for t in $1; do
		case $t in
		fuzz) set -- sh -c "build/test/test_fuzz -x 100 1 400 &&
		    build/test/test_fuzz" ;;
		matrix) set -- build/test/test_matrix -s ;;
		*) set -- "build/test/test_$t" ;;
		esac
		timeout 120 "$@" >"run.log" 2>&1 || {
			echo "$t"
			return
		}
	done
}

programs=$(awk -F '\t' '!/^#/ { print $5 }' "$table" | tr ' ' '\n' | sort -u)
targets=
for t in $programs; do
	targets="$targets build/test/test_$t"
done
build $targets || {
	tail -20 build.log
	exit 1
}

grep -v '^#' "$table" | awk -v n=$shards -v i="$SHARD" 'NR % n == i - 1' >table
while IFS=$tab read -r name file old new tests note; do
	case " $* " in
	"  " | *" $name "*) ;;
	*) continue ;;
	esac
	targets=
	for t in $tests; do
		targets="$targets build/test/test_$t"
	done
	also=
	case $note in
	+*) also=${note#+} ;;
	esac
	if ! mutate "$file" "$old" "$new" || ! mutate_also "$also"; then
		echo "BROKEN   $name: its text does not stand once in $file"
	elif ! build $targets; then
		echo "BROKEN   $name: does not compile"
	else
		by=$(first_failing "$tests" </dev/null)
		if [ -n "$by" ]; then
			echo "caught   $name by $by: $(grep -a -m1 \
			    -e FAILED -e 'seed .*:' -e 'ERROR' run.log |
			    cut -c1-110)"
		elif [ "${note#=}" != "$note" ]; then
			echo "equal    $name: ${note#=}"
		else
			echo "SURVIVED $name ($tests)"
		fi
	fi
	cp "$root/$file" "$file"
	[ -z "$also" ] || cp "$root/$also_file" "$also_file"
done <table
