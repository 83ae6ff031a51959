#!/bin/sh
# Checks what the scripts of cases 11 to 15 start. Their stand-ins are Python
# programs that use the standard library only, so that nothing is built here
# beyond the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || {
    echo "python3 3.9 or later is needed" >&2
    exit 2
}
test -x target/release/chicoryarch || {
    echo "the build of the deploy file is missing" >&2
    exit 2
}
