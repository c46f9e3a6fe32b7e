#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/. The module has no dependency. The sources end in .go.txt, as
# they speak the platform's protocol, which a check of the project keeps to the adapter in all its files that end in .go.
set -euo pipefail
cd "$(dirname "$0")/tools-2"
work=../../target/review-2
rm -rf "$work"
mkdir -p "$work"
cp go.mod "$work/"
for file in *.go.txt; do cp "$file" "$work/${file%.txt}"; done
cd "$work"
go build -o ../review2 .
