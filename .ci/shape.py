"""Checks the shape of the code that rustfmt and clippy don't check.

Prints each finding with its place and exits with 1 if there is any.
"""

import collections
import pathlib
import re
import subprocess
import sys

LIB_BANNED = re.compile(
    r"\b(Instant::now|SystemTime|thread::|tokio::|std::fs|std::net|std::process|std::thread)"
)
UNBOUNDED = re.compile(r"\b(unbounded|unbounded_channel)\s*(::<[^>]*>)?\(|mpsc::channel\(\)")
SPINNING = re.compile(r"\b(spin_loop|yield_now)\b")
INLINE_TESTS = re.compile(r"^\s*(pub(\(.*\))?\s+)?mod\s+tests?\s*\{")
USE = re.compile(r"^(pub(?:\([a-z:]+\))?\s+)?use\s+(?:::)?([a-z_0-9]+)", re.IGNORECASE)
ATTRIBUTE = re.compile(r"^#\[")


def uses_by_crate(lines):
    """Line numbers of the top-level `use` statements, by visibility, attribute and crate."""
    found = collections.defaultdict(list)
    attribute = ""
    for number, line in enumerate(lines, 1):
        if ATTRIBUTE.match(line):
            attribute = line.strip()
            continue
        match = USE.match(line)
        if match:
            found[(match.group(1), attribute, match.group(2))].append(number)
        attribute = ""
    return found


def check(path, text):
    """The findings in one file."""
    lines = text.splitlines()
    if path.name == "mod.rs":
        yield 1, "a module is a file beside its folder, not a mod.rs"
    for (_, _, crate), numbers in uses_by_crate(lines).items():
        for number in numbers[1:]:
            yield number, f"a second `use` of {crate}; nest it into the one in line {numbers[0]}"
    in_lib = path.parts[:2] == ("lib", "src")
    in_tests = "tests" in path.parts or "benches" in path.parts
    for number, line in enumerate(lines, 1):
        if not in_tests and INLINE_TESTS.match(line):
            yield number, "tests live in test files"
        if UNBOUNDED.search(line):
            yield number, "an unbounded channel"
        if SPINNING.search(line):
            yield number, "a thread must not spin while it waits"
        if in_lib and LIB_BANNED.search(line.split("//")[0]):
            yield number, "lib/ does no I/O, reads no clock and starts no thread"


def main(roots):
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "--", *roots],
        check=True, capture_output=True, text=True,
    ).stdout.split("\n")
    paths = sorted({pathlib.Path(name) for name in listed if name.endswith(".rs")})
    findings = 0
    for path in paths:
        if not path.exists():
            continue
        for number, message in check(path, path.read_text()):
            print(f"{path}:{number}: {message}")
            findings += 1
    print(f"shape: {len(paths)} files, {findings} findings")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or ["."]))
