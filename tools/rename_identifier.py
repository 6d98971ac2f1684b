#!/usr/bin/env python3
"""Renames C++ identifiers token by token: rename_identifier.py [--comments] OLD NEW [OLD NEW ...] -- PATH...

Replaces each whole-word use of OLD in the .cpp and .hpp files below PATH... (files or folders), outside string literals, character
literals, #include lines and, without --comments, comments. Then runs clang-format-14 on the files that changed and prints each of them
with the number of replacements. A name that already exists (NEW) in one of the files that change is reported as a warning: check that
the two don't meet in one scope.
"""
import pathlib, re, subprocess, sys

TOKEN = re.compile(r'//[^\n]*|/\*.*?\*/|R"([^()\s]*)\(.*?\)\1"|"(?:[^"\\\n]|\\.)*"|(?<![0-9A-Fa-f])\'(?:[^\'\\\n]|\\.)+\'|^[ \t]*#[ \t]*include[^\n]*|[A-Za-z_]\w*', re.S | re.M)

def main():
    arguments = sys.argv[1:]
    comments = '--comments' in arguments
    if comments:
        arguments.remove('--comments')
    if '--' not in arguments:
        sys.exit(__doc__)
    at = arguments.index('--')
    pairs, paths = arguments[:at], arguments[at + 1:]
    names = dict(zip(pairs[::2], pairs[1::2]))
    if len(pairs) % 2 or not names or not paths:
        sys.exit(__doc__)
    files = []
    for path in map(pathlib.Path, paths):
        files += sorted(p for p in path.rglob('*') if p.suffix in ('.cpp', '.hpp')) if path.is_dir() else [path]
    changed = []
    for path in files:
        text = path.read_text()
        count = 0
        def swap(match):
            nonlocal count
            token = match.group(0)
            if token in names:
                count += 1
                return names[token]
            if comments and token.startswith(('//', '/*')):
                new, n = re.subn(r'[A-Za-z_]\w*', lambda m: names.get(m.group(0), m.group(0)), token), 0
                count += new[1] if new[0] != token else 0
                return new[0]
            return token
        new = TOKEN.sub(swap, text)
        if new != text:
            present = {n for n in names.values() if re.search(rf'\b{re.escape(n)}\b', text)}
            path.write_text(new)
            changed.append(str(path))
            print(f'{path}: {count}' + (f'  (already there: {", ".join(sorted(present))})' if present else ''))
    if changed:
        subprocess.run(['clang-format-14', '-i', *changed], check=True)
main()
