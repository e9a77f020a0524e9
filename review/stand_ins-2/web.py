"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

NO_ANSWER = object()
LOOPBACK = "127.0.0.1"


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_head(reader):
    """Returns the first line and the headers of a message."""
    first = await reader.readline()
    if not first:
        return None, {}
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            return first.decode("latin-1").strip(), headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


class Server:
    """Serves requests with `handle`, which returns a status and a JSON body, or
    NO_ANSWER to leave the request unanswered and its connection silent."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self._life = 0
        self._silent = False
        self.port = 0

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the listener and resets all connections, like a crash."""
        if self._server is None:
            return
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._server = None

    def go_silent(self):
        """Answers nothing any more, like a machine without power. Connections
        of before and of meanwhile stay silent also after speak()."""
        self._silent = True
        self._life += 1

    def speak(self):
        self._silent = False
        self._life += 1

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        life = self._life
        try:
            while True:
                first, headers = await read_head(reader)
                if not first:
                    return
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                answer = NO_ANSWER
                if life == self._life and not self._silent:
                    answer = await self._handle(
                        Request(method, target, headers, body))
                if answer is NO_ANSWER or life != self._life:
                    # The connection returns nothing further.
                    await reader.read()
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Makes one call on a new connection. Returns the status and the body, or
    (None, reason) if there was no complete answer in time."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        lines = {"Host": address, "Content-Type": "application/json",
                 "Content-Length": str(len(data)), "Connection": "close"}
        lines.update(headers or {})
        head = "".join(f"{k}: {v}\r\n" for k, v in lines.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
        await writer.drain()
        first, answer_headers = await read_head(reader)
        if not first:
            raise ConnectionError("no answer")
        text = await reader.readexactly(
            int(answer_headers.get("content-length", 0)))
        return int(first.split(" ")[1]), json.loads(text or b"{}")

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer"
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        return None, f"broken connection: {error}"
    finally:
        if writer is not None:
            writer.close()
