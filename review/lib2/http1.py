"""HTTP/1.1 over TCP with CBOR bodies: a small server and a client that keeps its connection open."""

import asyncio

import cbor


class NoAnswer(Exception):
    """The handler raises this to leave a request without an answer and its connection hanging."""


async def serve(port, handler):
    """Serves on 127.0.0.1. `handler(method, path, query, body)` returns a status and a value."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                method, target, headers = request
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query_text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
                try:
                    value = cbor.decode(body) if body else None
                    status, answer = await handler(method, path, query, value)
                except NoAnswer:
                    await asyncio.sleep(3600)
                    break
                except (cbor.Malformed, KeyError, TypeError, ValueError) as error:
                    status, answer = 400, {"error": repr(error)}
                data = cbor.encode(answer)
                close = headers.get("connection", "").lower() == "close"
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/cbor\r\nContent-Length: {len(data)}\r\n"
                if close:
                    head += "Connection: close\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
                if close:
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port)


async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = await read_headers(reader)
    return method, target, headers


async def read_headers(reader):
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            return headers
        name, _, value = line.decode().partition(":")
        headers[name.strip().lower()] = value.strip()


class Client:
    """Sends one request at a time over one connection. Every failure is `None`."""

    def __init__(self, port):
        self.port = port
        self.stream = None

    def close(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None

    async def request(self, method, path, value=None, timeout=5.0, raw=None):
        try:
            return await asyncio.wait_for(self._exchange(method, path, value, raw), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, cbor.Malformed):
            self.close()
            return None

    async def _exchange(self, method, path, value, raw):
        if self.stream is None:
            self.stream = await asyncio.open_connection("127.0.0.1", self.port)
        reader, writer = self.stream
        body = raw if raw is not None else b"" if value is None else cbor.encode(value)
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        if method == "POST":
            head += f"Content-Type: application/cbor\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        line = await reader.readline()
        if not line:
            raise ValueError("closed")
        status = int(line.split()[1])
        headers = await read_headers(reader)
        length = int(headers.get("content-length", "0"))
        data = await reader.readexactly(length) if length else b""
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            answer = cbor.decode(data) if data else None
        except cbor.Malformed:
            answer = data
        return status, answer


async def call(port, method, path, value=None, timeout=5.0, raw=None):
    """One request over a connection of its own."""
    client = Client(port)
    try:
        return await client.request(method, path, value, timeout, raw)
    finally:
        client.close()
