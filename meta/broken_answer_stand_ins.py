"""Servers that break off or malform their answers, and callers that check
whether an answer is complete as HTTP defines it."""
import dataclasses
import os
import socket
import struct
import threading

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Small, so that a server that does not read holds up the writer of a long body.
RECEIVE_BUFFER_BYTES = 64 << 10
READ_BYTES = 64 << 10
# Status lines that are not valid.
BAD_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 X",
    "status 000 without reason": b"HTTP/1.1 000",
    "status 099": b"HTTP/1.1 099 X",
    "status 600": b"HTTP/1.1 600 X",
    "status 999": b"HTTP/1.1 999 X",
    "status of one digit": b"HTTP/1.1 2 X",
    "status of two digits": b"HTTP/1.1 20 X",
    "status of four digits": b"HTTP/1.1 2000 X",
    "negative status": b"HTTP/1.1 -20 X",
    "letter in status": b"HTTP/1.1 2x0 X",
    "two spaces before status": b"HTTP/1.1  200 X",
    "control byte in reason": b"HTTP/1.1 200 O\x01K",
    "other version": b"HTTP/3.1 200 OK",
}
# Field lines that are not valid.
BAD_FIELD_LINES = {
    "space in name": b"X A: v",
    "space before colon": b"X-A : v",
    "space at start of line": b" X-A: v",
    "tab at start of line": b"\tX-A: v",
    "tab in name": b"X\tA: v",
    "tab before colon": b"X-A\t: v",
    "nul in name": b"X\0A: v",
    "control byte in name": b"X\x01A: v",
    "delete byte in name": b"X\x7fA: v",
    "high byte in name": b"X\x80A: v",
    "cr in name": b"X\rA: v",
    "lf in name": b"X\nA: v",
    "empty name": b": v",
    "no colon": b"X-A",
    "nul in value": b"X-A: \0",
    "control byte in value": b"X-A: \x01",
    "space in name of length": b"Content-Length : 2",
    "control byte in name of length": b"Content-Length\x01: 2",
    "space before length": b" Content-Length: 2",
}


class Closed(Exception):
    """The other end has closed the connection."""


class Connection:
    """One end of a connection, with buffered reads."""

    def __init__(self, sock):
        self.sock = sock
        self.received = b""

    def send(self, data):
        self.sock.sendall(data)

    def receive(self):
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise Closed
        self.received += data

    def take(self, n):
        taken, self.received = self.received[:n], self.received[n:]
        return taken

    def read_until(self, delimiter):
        while delimiter not in self.received:
            self.receive()
        return self.take(self.received.index(delimiter) + len(delimiter))

    def read_exactly(self, n):
        while len(self.received) < n:
            self.receive()
        return self.take(n)

    def read_to_end(self):
        try:
            while True:
                self.receive()
        except Closed:
            return self.take(len(self.received))

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             RESET_ON_CLOSE)
        self.sock.close()


@dataclasses.dataclass
class Head:
    """First line and header; names in lower case, values without spaces around
    them."""
    first: list
    fields: dict

    @staticmethod
    def parse(data):
        first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
        fields = (it.partition(":") for it in lines)
        return Head(first.split(" ", 2), {
            name.lower(): value.strip() for name, _, value in fields})

    def length(self):
        return int(self.fields.get("content-length", 0))


class Server:
    """Serves each connection in a thread of its own.

    `script(connection, head)` answers a request and returns whether the
    connection stays open. It reads the body of the request itself.
    """

    def __init__(self, script):
        self.script = script
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 RECEIVE_BUFFER_BYTES)
        self.listener.bind((HOST, 0))
        self.listener.listen(64)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(Connection(sock),),
                             daemon=True).start()

    # Refuses connections from now on.
    def shut_down(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def serve(self, connection):
        try:
            while self.script(connection, Head.parse(
                    connection.read_until(b"\r\n\r\n"))):
                pass
        except (Closed, OSError):
            pass
        connection.sock.close()


@dataclasses.dataclass
class Answer:
    """What a caller got. The status is 0 if no head arrived."""
    status: int = 0
    fields: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


# Sends a request and reads the answer to its end.
def call(address, request, timeout_s=10):
    host, port = address.split(":")
    answer = Answer()
    with socket.create_connection((host, int(port)), timeout_s) as sock:
        connection = Connection(sock)
        try:
            connection.send(request)
            head = Head.parse(connection.read_until(b"\r\n\r\n"))
            answer.status, answer.fields = int(head.first[1]), head.fields
            read_body(connection, head, answer)
            answer.is_complete = True
        except (Closed, OSError):
            pass
    return answer


def read_body(connection, head, answer):
    if head.fields.get("transfer-encoding", "") == "chunked":
        size = -1
        while size != 0:
            size = int(connection.read_until(b"\r\n"), 16)
            answer.body += connection.read_exactly(size + 2)[:-2]
    elif "content-length" in head.fields:
        answer.body = connection.read_exactly(head.length())
    else:
        answer.body = connection.read_to_end()


def new_id():
    return os.urandom(8).hex()
