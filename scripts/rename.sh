#!/usr/bin/env bash
# Renames identifiers through gopls, by a list with one "FILE:LINE OLD NEW" a line.
# Usage: rename.sh LIST
set -euo pipefail
cd "$(git rev-parse --show-toplevel)"

GOPLS_VERSION=v0.23.0
TOOLS=${XDG_CACHE_HOME:-$HOME/.cache}/bronzerill-tools/gopls-$GOPLS_VERSION
[ -x "$TOOLS/gopls" ] || GOBIN=$TOOLS go install "golang.org/x/tools/gopls@$GOPLS_VERSION"

failed=0
while read -r place old new _; do
	[[ "$place" == *:* ]] || continue
	file=${place%%:*} line=${place#*:}
	line=${line%%:*}
	column=$(sed -n "${line}p" "$file" | awk -v name="$old" '{
		rest = $0; skipped = 0
		while ((i = index(rest, name)) > 0) {
			before = i > 1 ? substr(rest, i - 1, 1) : " "
			after = substr(rest, i + length(name), 1)
			if (before !~ /[A-Za-z0-9_]/ && after !~ /[A-Za-z0-9_]/) { print skipped + i; exit }
			skipped += i; rest = substr(rest, i + 1)
		}
	}')
	if [ -z "$column" ]; then
		echo "NOT FOUND  $place $old"
		failed=1
	elif ! "$TOOLS/gopls" rename -w "$file:$line:$column" "$new" 2>"/tmp/rename.$$"; then
		echo "REFUSED    $place $old -> $new: $(head -c 300 "/tmp/rename.$$")"
		failed=1
	fi
done <"$1"
rm -f "/tmp/rename.$$"
exit "$failed"
