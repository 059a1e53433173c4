#!/bin/sh
# run-case.sh CASE FOLDER: runs a case and ends what it started. Exits with 1 if the rule was broken, with 0 if it
# held, and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.
review=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(dirname "$review")
folder=$(cd "$2" && pwd) || exit 2
standin="$review/standin/target/release/review-standin"
[ -x "$standin" ] || { echo "no stand-ins: run review/build.sh" >&2; exit 2; }
[ -x "$root/target/release/geraniummux-host" ] || { echo "the program is not built" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2

clean_up() {
    # Processes that are left if the case was interrupted.
    while read -r pid; do
        case "$(ps -o comm= -p "$pid" 2>/dev/null)" in
            geraniummux*) kill -9 "$pid" 2>/dev/null ;;
        esac
    done < "$temporary/pids" 2>/dev/null
    rm -rf "$temporary"
}
trap 'kill "$case" 2>/dev/null; clean_up; exit 2' INT TERM HUP

"$standin" "$1" "$root" "$folder" "$temporary" &
case=$!
wait "$case"
status=$?
clean_up
[ "$status" -le 1 ] && exit "$status"
exit 2
