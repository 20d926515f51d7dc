#!/usr/bin/env python3
"""Checks that the names in the pages exist in the code.

Reads README.md, CONTRIBUTING.md and the Markdown files below docs/. Each name
in back quotes that looks like a class, a function or a constant (an inner
capital, or `Class::Member`) must occur as a whole word in the tracked code,
and each name of a source, script or settings file among the tracked files.
Prints `file:line: name` for each name that is missing. Exit code 1 if any is.
"""

import fnmatch
import os
import re
import subprocess
import sys

# Names of other parties, each with its reason.
EXCEPTIONS = {
    "sites/mantaro-rl.toml": "a file of the users' bench, fleetbench",
}

CODE_FILE = re.compile(r"(\.(h|cc|cmake|sh|lua|toml|py)|(^|/)CMakeLists\.txt)$")
PAGE = re.compile(r"^(README\.md|CONTRIBUTING\.md|docs/.*\.md)$")
FILE_NAME = re.compile(r"(?<![\w./*-])[\w./*-]*\w\.(?:cc|h|sh|lua|toml|py|json)\b(?!\.?\w)")
SCOPED_NAME = re.compile(r"\b[A-Z]\w*(?:::~?\w+)+")
CAMEL_CASE_NAME = re.compile(r"\b[A-Za-z]\w*[a-z0-9][A-Z]\w*|\b[A-Z]{2,}[a-z]\w*")


def tracked_files():
    listing = subprocess.run(
        ["git", "ls-files", "-z"], check=True, capture_output=True, text=True
    )
    return [name for name in listing.stdout.split("\0") if name]


def read(path):
    with open(path, encoding="utf-8", errors="replace") as file:
        return file.read()


def words_of_code(files):
    """Returns all words of the code, without this script's own exceptions."""
    own_name = "scripts/" + os.path.basename(__file__)
    words = set()
    for path in files:
        if CODE_FILE.search(path) and path != own_name:
            words.update(re.findall(r"\w+", read(path)))
    return words


def quoted_spans(text):
    """Yields the line number and the text of each span in back quotes.

    A span ends with its paragraph at the latest, so that a stray back quote
    does not swap inside and outside for the rest of the page. Fenced blocks
    are commands and examples, and are skipped.
    """
    paragraph = []
    is_fenced = False
    lines = text.split("\n") + [""]
    for number, line in enumerate(lines, 1):
        is_fence = line.lstrip().startswith("```")
        if is_fence or is_fenced or not line.strip():
            joined = "\n".join(paragraph)
            first = number - len(paragraph)
            for match in re.finditer(r"(`+)(.+?)\1", joined, re.DOTALL):
                yield first + joined.count("\n", 0, match.start()), match.group(2)
            paragraph = []
            is_fenced = is_fenced != is_fence
        else:
            paragraph.append(line)


def has_file(name, files):
    """Whether a tracked file has this path, or a path that ends with it."""
    return any(
        fnmatch.fnmatchcase(path, name) or fnmatch.fnmatchcase(path, "*/" + name)
        for path in files
    )


def missing_names(span, words, files):
    names = [n for n in FILE_NAME.findall(span) if not has_file(n, files)]
    rest = FILE_NAME.sub(" ", span)
    scoped_names = SCOPED_NAME.findall(rest)
    rest = SCOPED_NAME.sub(" ", rest)
    for name in scoped_names + CAMEL_CASE_NAME.findall(rest):
        parts = re.findall(r"\w+", name)
        if all(part in words for part in parts):
            continue
        names.append(name)
    return [name for name in dict.fromkeys(names) if name not in EXCEPTIONS]


def main():
    os.chdir(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
    files = tracked_files()
    words = words_of_code(files)
    missing = 0
    for page in filter(PAGE.match, files):
        for number, span in quoted_spans(read(page)):
            for name in missing_names(span, words, files):
                print(f"{page}:{number}: {name}")
                missing += 1
    if missing:
        print(f"{missing} names in the pages are not in the code", file=sys.stderr)
    return 1 if missing else 0


if __name__ == "__main__":
    sys.exit(main())
