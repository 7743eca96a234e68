#!/usr/bin/env bash
# Lays the bench's own companion files beside the variants; they are not kept here. Argument: the folder that has them.
set -euo pipefail
from=${1:?usage: deploy/sites/lay.sh FOLDER}
for name in real.json wire.json unlock.txt; do
    cp -f "$from/$name" "$(dirname "$0")/$name"
done
