#!/bin/sh
# Compiles the stand-ins that the scripts of cases 6 to 10 start, the project's
# own too. They need the libraries of the deploy file's build and nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=src:target/deps:.
export PYTHONPATH
python3 -m compileall -q review/harness_2 review/[6-9] review/10 tests/standins
python3 -c \
    'import review.harness_2.main, review.harness_2.executor, tests.standins.process'
