"""A proxy in front of a minion that can hold back calls and deliver them late."""

import socket
import threading


def read_message(file):
    """Reads an HTTP message with a Content-Length; returns (start line, raw)."""
    first = file.readline()
    if not first:
        return None, b""
    raw, length = first, 0
    while True:
        line = file.readline()
        if not line:
            return None, b""
        raw += line
        if line in (b"\r\n", b"\n"):
            break
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    body = file.read(length) if length else b""
    return first.decode().strip(), raw + body


class Proxy:
    """`holds_back(start line, raw message)` says which calls are not forwarded
    now; the caller gets no answer to them. deliver() forwards them."""

    def __init__(self, target, holds_back):
        self.target = target
        self.holds_back = holds_back
        self.held = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,),
                             daemon=True).start()

    def _connect(self):
        host, port = self.target.split(":")
        upstream = socket.create_connection((host, int(port)), timeout=10)
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return upstream

    def _serve(self, client):
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upstream = None
        try:
            calls = client.makefile("rb")
            while True:
                line, raw = read_message(calls)
                if line is None:
                    return
                if self.holds_back(line, raw):
                    self.held.append(raw)
                    client.recv(1)  # until the caller closes the connection
                    return
                if upstream is None:
                    upstream = self._connect()
                    answers = upstream.makefile("rb")
                upstream.sendall(raw)
                line, raw = read_message(answers)
                if line is None:
                    return
                client.sendall(raw)
        except OSError:
            pass
        finally:
            for each in (client, upstream):
                if each is not None:
                    each.close()

    def deliver(self):
        """Delivers the held calls; returns the first lines of the answers."""
        held, self.held = self.held, []
        answers = []
        for raw in held:
            with self._connect() as upstream:
                upstream.sendall(raw)
                answers.append(read_message(upstream.makefile("rb"))[0])
        return answers
