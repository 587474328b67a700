"""A CBOR codec for the values that the protocols use: maps, lists, text, numbers, booleans and null."""

import struct


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes((major << 5 | 24, number))
    elif number < 1 << 16:
        out.append(major << 5 | 25)
        out += struct.pack(">H", number)
    elif number < 1 << 32:
        out.append(major << 5 | 26)
        out += struct.pack(">I", number)
    else:
        out.append(major << 5 | 27)
        out += struct.pack(">Q", number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        if value >= 0:
            _head(0, value, out)
        else:
            _head(1, -1 - value, out)
    elif isinstance(value, float):
        out.append(0xFB)
        out += struct.pack(">d", value)
    elif isinstance(value, str):
        text = value.encode()
        _head(3, len(text), out)
        out += text
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


class Malformed(Exception):
    pass


_BREAK = object()


def decode(data):
    value, at = _decode(data, 0)
    if at != len(data) or value is _BREAK:
        raise Malformed("bytes after the item")
    return value


def _decode(data, at):
    try:
        first = data[at]
    except IndexError:
        raise Malformed("truncated") from None
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack_from(">e", data, at)[0], at + 2
        if info == 26:
            return struct.unpack_from(">f", data, at)[0], at + 4
        if info == 27:
            return struct.unpack_from(">d", data, at)[0], at + 8
        if info == 31:
            return _BREAK, at
        raise Malformed("simple value")
    indefinite = info == 31
    number = info
    if 24 <= info <= 27:
        size = 1 << (info - 24)
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    elif info > 27 and not indefinite:
        raise Malformed("length")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        if indefinite:
            parts = []
            while True:
                part, at = _decode(data, at)
                if part is _BREAK:
                    return "".join(parts), at
                parts.append(part)
        raw = data[at:at + number]
        if len(raw) != number or major == 2:
            raise Malformed("text")
        return raw.decode(), at + number
    if major == 4:
        items = []
        while indefinite or len(items) < number:
            item, at = _decode(data, at)
            if item is _BREAK:
                break
            items.append(item)
        return items, at
    if major == 5:
        entries = {}
        count = 0
        while indefinite or count < number:
            key, at = _decode(data, at)
            if key is _BREAK:
                break
            entries[key], at = _decode(data, at)
            count += 1
        return entries, at
    raise Malformed("tag")
