#!/bin/sh
# Builds the stand-ins of the cases 6 to 10; needs a JDK 17 and nothing else.
cd "$(dirname "$0")/src-2" || exit 2
rm -rf target && mkdir target && javac --release 17 -Xlint:all -d target *.java
