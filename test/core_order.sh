#!/bin/sh
# Fails if a file of src/core calls one that comes after it in this order, which
# CONTRIBUTING.md explains. Reads the symbols of the object files.
order='error context local_upstream evacuation load pending self peers unsent
regions suspect_reports children admit attempt call serve run control links
dispatch event node dump'
objects=${BUILD:-build}/obj/src/core

for c in src/core/*.c; do
	case " $(echo $order) " in
	*" $(basename "$c" .c) "*) ;;
	*) echo "$c has no place in $0"; exit 1 ;;
	esac
done
for f in $order; do
	nm -P "$objects/$f.o" | awk -v f="$f" '{ print f, $1, $2 }'
done | awk -v order="$order" '
BEGIN {
	n = split(order, files)
	for (i = 1; i <= n; i++)
		place[files[i]] = i
}
$3 == "U" { users[$2] = users[$2] " " $1; next }
$3 ~ /[A-Z]/ { home[$2] = $1 }
END {
	for (s in home) {
		m = split(users[s], by)
		for (i = 1; i <= m; i++) {
			if (place[by[i]] > place[home[s]])
				continue
			print by[i] ".c uses " s " of " home[s] ".c"
			bad = 1
		}
	}
	exit bad
}'
