#!/bin/sh
# Compiles the stand-ins and test drivers of the review. Needs only the JDK.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-classes
mkdir -p target/review-classes
javac --release 17 -d target/review-classes review/src/review/*.java
