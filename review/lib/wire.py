"""CBOR and HTTP/1.1 for the stand-ins, with the standard library only."""
import http.client
import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


def dumps(value):
    out = bytearray()
    _put(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += bytes([major << 5 | 24, number])
    elif number < 1 << 16:
        out += bytes([major << 5 | 25]) + struct.pack(">H", number)
    elif number < 1 << 32:
        out += bytes([major << 5 | 26]) + struct.pack(">I", number)
    else:
        out += bytes([major << 5 | 27]) + struct.pack(">Q", number)


def _put(value, out):
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
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _put(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _put(key, out)
            _put(item, out)
    else:
        raise TypeError(type(value))


def loads(data):
    value, at = _get(data, 0)
    if at != len(data):
        raise ValueError("trailing bytes")
    return value


def _get(data, at):
    first = data[at]
    at += 1
    major, info = first >> 5, first & 31
    if major == 7:
        if info == 20:
            return False, at
        if info == 21:
            return True, at
        if info in (22, 23):
            return None, at
        size, code = {25: (2, ">e"), 26: (4, ">f"), 27: (8, ">d")}[info]
        return struct.unpack(code, data[at:at + size])[0], at + size
    if info < 24:
        number = info
    elif info == 31:
        number = None
    else:
        size = 1 << (info - 24)
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        raw = bytes(data[at:at + number])
        return (raw.decode() if major == 3 else raw), at + number
    if major == 4:
        items = []
        while number is None or len(items) < number:
            if number is None and data[at] == 0xFF:
                at += 1
                break
            item, at = _get(data, at)
            items.append(item)
        return items, at
    if major == 5:
        items = {}
        count = 0
        while number is None or count < number:
            if number is None and data[at] == 0xFF:
                at += 1
                break
            key, at = _get(data, at)
            items[key], at = _get(data, at)
            count += 1
        return items, at
    raise ValueError("unsupported CBOR")


def call(addr, method, path, body=None, timeout=5.0, headers=None):
    """One request on a connection of its own. Returns (status, decoded body or None, headers); None without answer."""
    host, port = addr.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b"" if body is None else (body if isinstance(body, bytes) else dumps(body))
        head = {"Content-Type": "application/cbor", "Connection": "close"}
        head.update(headers or {})
        connection.request(method, path, data if method == "POST" else None, head)
        answer = connection.getresponse()
        raw = answer.read()
        try:
            value = loads(raw) if raw else None
        except Exception:
            value = raw
        return answer.status, value, dict(answer.getheaders())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Drop(Exception):
    """Ends the connection without an answer."""


class Server:
    """An HTTP server on a free loopback port; `handle(method, path, query, body)` returns (status, value)."""

    def __init__(self, handle, host="127.0.0.1", port=0):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def serve(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                path, _, query = self.path.partition("?")
                fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
                try:
                    status, value = outer.handle(self.command, path, fields, loads(body) if body else None)
                except Drop:
                    self.close_connection = True
                    return
                data = dumps(value)
                self.send_response(status)
                self.send_header("Content-Type", "application/cbor")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                self.wfile.flush()

            do_GET = do_POST = do_DELETE = serve

            def handle_one_request(self):
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

        class Threads(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *args):
                pass

        self.handle = handle
        self.server = Threads((host, port), Handler)
        self.addr = "%s:%d" % self.server.server_address[:2]
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()
