#!/bin/sh
# Exits with 1 if an accepted batch submission can't be read at the end, 0 if all can, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
