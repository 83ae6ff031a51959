"""Checks one import a line, imports in three groups, and sorted derives.

Groups: the standard library, other crates, this crate. The stable formatter
cannot enforce these.
"""

import pathlib
import re
import subprocess
import sys

DERIVE = re.compile(r"#\[derive\(([^)]*)\)\]", re.S)
USE = re.compile(r"^(?:pub(?:\([a-z]+\))? )?use ([^;]+);", re.M)
STD = ("std::", "core::", "alloc::")
LOCAL = ("crate::", "super::", "self::")


def group(path):
    if path.startswith(STD):
        return 0
    return 2 if path.startswith(LOCAL) else 1


def derives(text):
    for found in DERIVE.finditer(text):
        names = [name.strip().split("::")[-1] for name in found.group(1).split(",")]
        names = [name for name in names if name]
        if names != sorted(names):
            yield f"derives out of order: {', '.join(names)}"


def imports(text):
    previous = None
    blank = False
    for line in text.splitlines():
        found = USE.match(line)
        if found is None:
            if re.match(r"^(pub(\([a-z]+\))? )?use [^;]*$", line):
                yield f"more than one import in a statement: {line.strip()}"
            if line.strip():
                previous = None if not line.startswith("#[") else previous
            else:
                blank = True
            continue
        path = found.group(1)
        if line.startswith("pub"):
            previous = None
            continue
        if "{" in path:
            yield f"more than one import in a statement: {line.strip()}"
        here = group(path)
        if previous is not None:
            if here < previous:
                yield f"import group out of order: {line.strip()}"
            if here > previous and not blank:
                yield f"no blank line before a new import group: {line.strip()}"
        previous = here
        blank = False


def main():
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.rs"],
        check=True, capture_output=True, text=True,
    )
    wrong = 0
    for name in listed.stdout.split():
        path = pathlib.Path(name)
        if not path.exists():
            continue
        text = path.read_text()
        for problem in [*derives(text), *imports(text)]:
            print(f"{name}: {problem}")
            wrong += 1
    return 1 if wrong else 0


sys.exit(main())
