#!/bin/sh
# Exits with 1 if a request that may run once ran twice, 0 if none did, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
