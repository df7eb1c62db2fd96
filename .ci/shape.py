"""Checks structural rules of the code that rustfmt and clippy don't cover.

Prints each violation with its file and line, and exits with 1 if there is any.
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
    """Maps (visibility, attribute, crate) to the line numbers of its top-level `use` statements."""
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
    """Yields the line number and message of each violation in a file."""
    lines = text.splitlines()
    if path.name == "mod.rs":
        yield 1, "mod.rs is not allowed; name the file after the module, beside its folder"
    for (_, _, crate), numbers in uses_by_crate(lines).items():
        for number in numbers[1:]:
            yield number, f"duplicate `use` of {crate}; merge it with line {numbers[0]}"
    in_lib = path.parts[:2] == ("lib", "src")
    in_tests = "tests" in path.parts or "benches" in path.parts
    for number, line in enumerate(lines, 1):
        if not in_tests and INLINE_TESTS.match(line):
            yield number, "inline test module; move the tests to a file under tests/"
        if UNBOUNDED.search(line):
            yield number, "unbounded channel; use a bounded ring"
        if SPINNING.search(line):
            yield number, "busy waiting; block or park the thread instead"
        if in_lib and LIB_BANNED.search(line.split("//")[0]):
            yield number, "lib/ must not do I/O, read a clock or start threads"


def main(roots):
    listed = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "--", *roots],
        check=True, capture_output=True, text=True,
    ).stdout.split("\n")
    paths = sorted({pathlib.Path(name) for name in listed if name.endswith(".rs")})
    violations = 0
    for path in paths:
        if not path.exists():
            continue
        for number, message in check(path, path.read_text()):
            print(f"{path}:{number}: {message}")
            violations += 1
    print(f"shape: {len(paths)} files, {violations} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:] or ["."]))
