#!/usr/bin/env python3
"""Checks that no operand of &&, || or ?: is awaited after the first one.

GCC 12 awaits such an operand in the condition of a loop and in co_return even when the
first operand decides the result. Exits with 1 and one line per violation.
"""
import pathlib
import re
import sys

COMMENT_OR_LITERAL = re.compile(
    r'//[^\n]*|/\*.*?\*/|R"(\w*)\(.*?\)\1"|"(?:\\.|[^"\\\n])*"|\'(?:\\.|[^\'\\\n])+\'', re.DOTALL
)
STATEMENT = re.compile(r"[^;{}]+")
# References such as `auto&&` have no space before the operator.
CONDITIONAL_AWAIT = re.compile(r"\s(?:&&|\|\||\?)\s.*?\bco_await\b", re.DOTALL)


def blank(match: re.Match) -> str:
    """Replaces all characters except line ends, so that line numbers stay valid."""
    return re.sub(r"[^\n]", " ", match.group())


def find_violations(text: str) -> list[int]:
    """Returns the line numbers of the awaits."""
    code = COMMENT_OR_LITERAL.sub(blank, text)
    lines = []
    for statement in STATEMENT.finditer(code):
        match = CONDITIONAL_AWAIT.search(statement.group())
        if match:
            lines.append(code.count("\n", 0, statement.start() + match.end()) + 1)
    return lines


def main() -> int:
    root = pathlib.Path(__file__).resolve().parent.parent
    files = sorted(
        path
        for folder in ("src", "platform", "tests", "bench", "fuzz")
        for path in (root / folder).rglob("*")
        if path.suffix in (".h", ".cpp")
    )
    violations = [
        f"{path.relative_to(root)}:{line}: awaits an operand of &&, || or ?:; use an if statement"
        for path in files
        for line in find_violations(path.read_text())
    ]
    for violation in violations:
        print(violation)
    print(f"coroutine check: {len(files)} files, {len(violations)} violations")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
