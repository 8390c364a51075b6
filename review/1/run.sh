#!/bin/sh
# Exits with 1 if an answer or a sample that its engine broke off was handed out as whole, 0 if none was, 2 if the case could not run.
exec node "$(dirname "$0")/run.mjs"
