#!/usr/bin/env python3
"""Writes variants of a site file of the users' bench, for days on deployments
that were not seen: live requests that may run once, streams that may be
resumed, checked fences, one version a sample, several cores.

  scripts/vary-site.py SITE.toml FOLDER

FOLDER must hold the site's wire.json. Prints the files that were written.
"""
import pathlib
import re
import sys

STREAM = (
    'kind = "stream", stream = { pieces = { mean = 8.0, spread = 0.4, '
    "max = 20.0, tail = 0.0, tail_x = 1.0 }, piece_bytes = { mean = 200.0, "
    "spread = 0.0, tail = 0.0, tail_x = 1.0, max = 1400.0 }, "
    "gap_aim_ms = 150.0, resume = true },"
)


def first_live_class(text, addition):
    """Adds fields to the first class of live requests."""
    return re.sub(r'(\{ name = "[^"]+", [^\n]*?method = "POST",)(?! kind)',
                  r"\1 " + addition, text, count=1)


VARIANTS = {
    "unsafe": lambda text: first_live_class(text, 'kind = "unsafe",'),
    "stream": lambda text: first_live_class(text, STREAM),
    "fenced": lambda text: text.replace("fenced = false", "fenced = true"),
    "pure": lambda text: text.replace("pure = false", "pure = true"),
    "cores": lambda text: text.replace("cores = 1", "cores = 2"),
}


def main():
    if len(sys.argv) != 3:
        sys.exit(__doc__)
    site, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    original = site.read_text()
    for name, change in VARIANTS.items():
        changed = change(original)
        if changed == original:
            sys.exit(f"vary-site: {site}: nothing to change for '{name}'")
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(changed.replace(f'name = "{site.stem}"',
                                        f'name = "{path.stem}"', 1))
        print(path)


if __name__ == "__main__":
    main()
