#!/usr/bin/env bash
# Starts one of two builds of agaterouted in place of the program itself, so that a soak runs both side by side:
#   BEFORE=FILE AFTER=FILE [REPLACE=1] agatestand soak --program scripts/two-builds.sh ...
# Instances with even numbers are of the build BEFORE, the others of AFTER. With REPLACE all begin as BEFORE, and each is AFTER from its
# second start on, as if machines were replaced one after the other.
set -euo pipefail
name=$(printenv | grep -o 'routed-[0-9]*-[0-9]*\.toml' | head -n 1)
name=${name%.toml}
program=$AFTER
if [ -n "${REPLACE:-}" ]; then
    mark="${TMPDIR:-/tmp}/$name.before"
    if [ ! -e "$mark" ]; then
        touch "$mark"
        program=$BEFORE
    fi
elif [ $((${name##*-} % 2)) -eq 0 ]; then
    program=$BEFORE
fi
exec "$program" "$@"
