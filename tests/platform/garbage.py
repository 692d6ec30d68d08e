"""Field values that no reader of JSON of other writers may trip over."""

import json

LONE_SURROGATE = '\ud800'
GARBAGE = (
    None,
    True,
    -1,
    0.5,
    10**400,
    0,
    2**53,
    2**63,
    10**9,
    '',
    LONE_SURROGATE,
    'x' * 10_000,
    '\n',
    [],
    [None],
    [[[]]],
    {},
    {'': 1},
    json.loads('[' * 400 + ']' * 400),
)
# Numbers that Python reads, although JSON has none, or no limit for them.
RAW_GARBAGE = ('1e999', '-1e999', 'NaN', 'Infinity', '1' * 4000)
UNREADABLE = (
    b'',
    b'\xff\x00no entry',
    b'[' * 30_000,
    b'{"a":' * 30_000,
    b'[' * 100 + b']' * 100,
    b'{"a":' * 100 + b'1' + b'}' * 100,
    b'{"a":NaN}',
    b'[]',
    b'null',
    b'"text"',
    b'{"a":1',
    b'{"a":' + b'1' * 5000 + b'}',
)


def replace_fields(document):
    """Yields JSON text of a document with each of its fields replaced.

    Fields of nested objects and of the first part of lists are replaced, too,
    and each field is also left out.
    """
    for path in _list_paths(document):
        for part in (*GARBAGE, *RAW_GARBAGE):
            yield _dump_replaced(document, path, part)
        yield _dump_without(document, path)


def _list_paths(document, path=()):
    fields = ()
    if isinstance(document, dict):
        fields = document.items()
    elif isinstance(document, list):
        fields = enumerate(document)
    for name, field in fields:
        yield (*path, name)
        yield from _list_paths(field, (*path, name))


def _copy_to(document, path):
    copied = json.loads(json.dumps(document))
    container = copied
    for name in path[:-1]:
        container = container[name]
    return copied, container


def _dump_replaced(document, path, part):
    copied, container = _copy_to(document, path)
    is_raw = isinstance(part, str) and part in RAW_GARBAGE
    container[path[-1]] = '<raw>' if is_raw else part
    text = json.dumps(copied)
    return text.replace('"<raw>"', part) if is_raw else text


def _dump_without(document, path):
    copied, container = _copy_to(document, path)
    del container[path[-1]]
    return json.dumps(copied)
