#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15 with the libraries that the
# build of the deploy file puts into target/deps; it needs no network.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=.:target/deps python3 -m compileall -q review/harness_3 review/1[1-5]
PYTHONPATH=.:target/deps python3 -c 'import review.harness_3.main'
