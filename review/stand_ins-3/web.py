"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_message(reader):
    """Returns the first line, the headers and the body, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin-1").strip()
        if not field:
            break
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode("latin-1").strip(), headers, body


class Server:
    """Serves requests with handler(method, path, query, headers, body), which
    returns a status and an object for the JSON body."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query,
                                                    keep_blank_values=True))
                status, answer = await self.handler(
                    method, parts.path, query, headers, body)
                data = json.dumps(answer).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\n"
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode()
                             + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own. Returns the status and the
    decoded body; status 0 stands for no complete answer in time."""
    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Content-Type": "application/json",
                      "Connection": "close", "Content-Length": str(len(data))}
            fields.update(headers or {})
            text = f"{method} {path} HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(text.encode() + b"\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            line, _, answer = message
            try:
                decoded = json.loads(answer) if answer else None
            except ValueError:
                decoded = None
            return int(line.split(" ")[1]), decoded
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, None
