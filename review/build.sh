#!/usr/bin/env bash
# Checks that the stand-ins load; they are Python and need no other build.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.:src:target/deps \
    python3 -c 'import review.standin.cell'
