#!/bin/bash
# Exit code: 1 rule broken, 0 rule held, 2 the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")" && exec python3 -B case.py
