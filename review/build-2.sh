#!/usr/bin/env bash
# Builds the stand-ins of the second review. The deploy file's build line must have run before.
set -euo pipefail
cd "$(dirname "$0")/tools-2"
go build -o ../../target/review2 .
