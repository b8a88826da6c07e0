#!/bin/sh
# Builds the stand-ins of all cases, from source, into review/target. Needs a JDK only.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target src/*.java
