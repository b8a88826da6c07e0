#!/bin/sh
# Exit status 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0: the same without the disruption.
TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
if [ ! -f "$root/app/target/walnutfield-app.jar" ] || [ ! -f "$root/review/target/TakenBack.class" ]; then
    echo "could not run: build with the line of deploy/balancer.toml and review/build.sh first"
    exit 2
fi
exec java -Xmx512m -cp "$root/review/target" TakenBack "$root" "$here" "$TROUBLE"
