#!/bin/bash
# Builds the programs that play the cases, with the stand-ins of review/standin and the project's own. Needs Go alone, and no
# network once the modules of go.mod are there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*/; do
  name=$(basename "$folder")
  go build -trimpath -o "review/bin/$name" "./review/$name"
done
