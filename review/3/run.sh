#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 it
# does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../run-case.sh" late-stop "$here"
