#!/bin/sh
# Runs case N in its folder: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
case_folder="$(cd "$(dirname "$0")/../$1" && pwd)" || exit 2
root="$(cd "$case_folder/../.." && pwd)" || exit 2
java -Droot="$root" -cp "$root/review/src-2/target" "Case$1" "$case_folder" &
stand_ins=$!
trap 'kill $stand_ins' INT TERM
wait $stand_ins
status=$?
if [ $status -gt 128 ]; then
    wait $stand_ins
fi
case $status in
    0) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
