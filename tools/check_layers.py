#!/usr/bin/env python3
"""Checks the includes below src/savoryrelay against the order of the layers.

A layer may include itself and the layers it is allowed to use. `protocol` and
`coordination` must not include each other, so that decisions never see an
encoder or a socket. Exits with 1 and one line per violation.
"""
import pathlib
import re
import sys

ALLOWED = {
    "state": {"state"},
    "coordination": {"coordination", "state"},
    "protocol": {"protocol", "state"},
    "transport": {"transport", "protocol", "coordination", "state"},
}

# Libraries that encode or send; decisions and state must not use them.
FORBIDDEN_LIBRARIES = {
    "state": ("boost/asio", "boost/beast", "boost/json", "cereal/", "yaml-cpp", "cxxtools/"),
    "coordination": ("boost/asio", "boost/beast", "boost/json", "cereal/", "yaml-cpp", "cxxtools/"),
    "protocol": ("boost/asio", "boost/beast/core", "cxxtools/net"),
}

# Spellings of the platform, which only its adapter and the stand-ins may use.
PLATFORM_SPELLINGS = re.compile(
    r"rows-tx|rows-get|rows-feed|Expect-Instance|Not-Executed|Token-Counts|Attempt-Id|Server-Seal|"
    r"Server-Leaving|expected_rev\b|fencing_token"
)

INCLUDE = re.compile(r'^\s*#\s*include\s*[<"]([^>"]+)[>"]')


def check_platform(source: pathlib.Path) -> list[str]:
    """The library must not include the adapter, and no program may spell its names."""
    violations = []
    for path in sorted(p for p in source.rglob("*") if p.suffix in (".h", ".cpp")):
        part = path.relative_to(source).parts[0]
        if part == "standin":
            continue
        text = path.read_text()
        name = path.relative_to(source)
        if PLATFORM_SPELLINGS.search(text):
            violations.append(f"{name}: spells a name of the platform")
        if part == "savoryrelay" and '#include "platform/' in text:
            violations.append(f"{name}: includes the platform's adapter")
    return violations


def main() -> int:
    root = pathlib.Path(__file__).resolve().parent.parent / "src" / "savoryrelay"
    violations = []
    files = sorted(p for p in root.rglob("*") if p.suffix in (".h", ".cpp", ".inl"))
    for path in files:
        layer = path.relative_to(root).parts[0]
        if layer not in ALLOWED:
            violations.append(f"{path.relative_to(root)}: not inside a layer folder")
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            match = INCLUDE.match(line)
            if not match:
                continue
            target = match.group(1)
            if target.startswith("savoryrelay/"):
                other = target.split("/")[1]
                if other not in ALLOWED[layer]:
                    violations.append(f"{path.relative_to(root)}:{number}: {layer} includes {target}")
            elif target.startswith(FORBIDDEN_LIBRARIES.get(layer, ())):
                violations.append(f"{path.relative_to(root)}:{number}: {layer} includes {target}")
    violations += check_platform(root.parent)
    for violation in violations:
        print(violation)
    print(f"layer check: {len(files)} files, {len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
