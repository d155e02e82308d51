#!/usr/bin/env python3
"""Checks that clients which exceed the limits cannot end or stall a process.

usage: client_limits_test.py BUILD_DIR CASE

Starts one process with all roles on loopback addresses, with a limit on its
memory and its descriptors, and opens many connections that send a request
almost to its end and stay open. While they are open the process has to live,
stay below the limits, and answer an ordinary request; after they have closed
its descriptors have to be free again. Nothing here depends on the speed of the
machine: every wait ends as soon as its condition holds.
"""
import json
import os
import re
import resource
import select
import socket
import struct
import subprocess
import sys
import tempfile
import time

# Memory that the process may use; its peak resident size is checked as well.
MEMORY_BYTES = 256 << 20
MAX_DESCRIPTORS = 512
# Connections of one crowd, and the size of the bodies that they send.
BODY_CONNECTIONS = 120
BODY_BYTES = 3_000_000
MESSAGE_CONNECTIONS = 100
MESSAGE_BYTES = (4 << 20) - 1
IDLE_CONNECTIONS = 600
OVERSIZED_SENT_BYTES = 8 << 20
# Only a failing test reaches this time.
WAIT_LIMIT_S = 120

JOB_PATH = "/previews/00000000000000%02x"
QUEUES = {
    "version": 1,
    "routes": [{"name": "previews", "host": "gallery.example",
                "path_prefix": "/previews/", "timeout_ms": 3000,
                "service": "wallwright", "max_attempts": 1}],
    "services": [{"name": "wallwright"}],
}
JOB = {"spec": "preview", "steps": [{"count": 1, "cpu": 100, "mem_mb": 16,
                                     "estimate_ms": 100}]}


class Failure(Exception):
    pass


def free_ports(count):
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def limit_process():
    resource.setrlimit(resource.RLIMIT_DATA, (MEMORY_BYTES, MEMORY_BYTES))
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS,) * 2)


class Process:
    """One daemon with all roles."""

    def __init__(self, build, folder):
        names = ("messages", "diagnostics", "callers", "ready", "workers", "operators")
        self.ports = dict(zip(names, free_ports(len(names))))
        address = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        settings = {
            "node": "all", "data_centre": "dc1", "roles": ["entry", "agent", "control"],
            "peer_listen": address["messages"], "http_listen": address["diagnostics"],
            "data_folder": os.path.join(folder, "data"),
            "control": [{"node": "all", "peer": address["messages"]}],
            "workflow": {"caller_listen": address["callers"], "ready_listen": address["ready"],
                         "worker_listen": address["workers"],
                         "operator_listen": address["operators"]},
        }
        path = os.path.join(folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = open(os.path.join(folder, "log"), "w+", encoding="utf-8", errors="replace")
        self.child = subprocess.Popen([os.path.join(build, "fulmarrockd"), "--settings", path],
                                      stdout=self.log, stderr=self.log, preexec_fn=limit_process)

    def check_alive(self):
        if self.child.poll() is not None:
            raise Failure(f"the process ended with {self.child.returncode}")

    def peak_bytes(self):
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read()).group(1)) << 10

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def stop(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def tail(self):
        self.log.seek(0)
        return "".join(self.log.readlines()[-20:])


def request(process, interface, method, path, body=None, host="gallery.example"):
    """Sends one request and returns its status, or None without a response."""
    payload = b"" if body is None else json.dumps(body).encode()
    head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n")
    try:
        with socket.create_connection(("127.0.0.1", process.ports[interface]), 10) as connection:
            connection.sendall(head.encode() + payload)
            response = b""
            while data := connection.recv(65536):
                response += data
    except OSError:
        return None
    match = re.match(rb"HTTP/1\.1 (\d+) ", response)
    return int(match.group(1)) if match else None


def wait_until(process, what, condition):
    end = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        process.check_alive()
        if time.monotonic() > end:
            raise Failure(f"waited {WAIT_LIMIT_S} s until {what}")
        time.sleep(0.05)


class Connection:
    """A connection that sends `data` and stays open."""

    def __init__(self, port, data):
        self.rest = memoryview(data)
        self.is_open = True
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))

    def read(self):
        try:
            self.is_open &= self.socket.recv(65536) != b""
        except BlockingIOError:
            pass
        except OSError:
            self.is_open = False

    def write(self, piece_bytes):
        try:
            self.rest = self.rest[self.socket.send(self.rest[:piece_bytes]):]
        except BlockingIOError:
            pass
        except OSError:
            self.is_open = False


def send_all(process, connections, piece_bytes):
    """Sends until every connection has sent all of its data or was closed.

    A process may also leave bytes unread; then the crowd is complete when no
    connection accepts more for a while.
    """
    end = time.monotonic() + WAIT_LIMIT_S
    while time.monotonic() < end:
        active = {c.socket.fileno(): c for c in connections if c.is_open}
        poll = select.poll()
        for fd, connection in active.items():
            poll.register(fd, select.POLLIN | (select.POLLOUT if connection.rest else 0))
        if not any(connection.rest for connection in active.values()):
            return
        ready = poll.poll(2000)
        if not ready:
            return
        for fd, events in ready:
            if events & select.POLLOUT:
                active[fd].write(piece_bytes)
            if events & ~select.POLLOUT:
                active[fd].read()
        process.check_alive()


def http_head(length):
    return (f"POST {JOB_PATH % 1} HTTP/1.1\r\nHost: gallery.example\r\n"
            f"Content-Type: application/json\r\n{length}\r\n\r\n").encode()


def sized_body(size, announced=None):
    """A body that stops one byte short of its announced end."""
    return http_head(f"Content-Length: {announced or size}") + b" " * (size - 1)


def chunked_body(size, chunk_bytes):
    """A chunked body without its last chunk."""
    chunk = b"%x\r\n" % chunk_bytes + b" " * chunk_bytes + b"\r\n"
    return http_head("Transfer-Encoding: chunked") + chunk * (size // chunk_bytes)


def http2_frame(kind, flags, stream, payload):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def literal_header(name, value):
    return b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value


def unfinished_message(size):
    """A message between processes without its last byte."""
    header = (b"\x83\x86\x84" + literal_header(b":authority", b"fulmarrock") +
              literal_header(b"fulmarrock-sender", b"other"))
    frames = b"".join(http2_frame(0, 0, 1, b" " * 16384) for _ in range(size // 16384))
    return (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(4, 0, 0, b"") +
            http2_frame(1, 4, 1, header) + frames)


WHOLE = 1 << 30
CASES = {
    # name: (interface, connections, data, bytes sent at a time)
    "callers_whole": ("callers", BODY_CONNECTIONS, lambda: sized_body(BODY_BYTES), WHOLE),
    "callers_pieces": ("callers", BODY_CONNECTIONS, lambda: sized_body(BODY_BYTES), 4096),
    "callers_large_chunks": ("callers", BODY_CONNECTIONS,
                             lambda: chunked_body(BODY_BYTES, 65536), WHOLE),
    "callers_small_chunks": ("callers", BODY_CONNECTIONS,
                             lambda: chunked_body(BODY_BYTES, 16), WHOLE),
    "callers_announced_oversize": ("callers", BODY_CONNECTIONS,
                                   lambda: sized_body(OVERSIZED_SENT_BYTES, 10 << 30), WHOLE),
    "callers_sent_oversize": ("callers", BODY_CONNECTIONS,
                              lambda: chunked_body(OVERSIZED_SENT_BYTES, 65536), WHOLE),
    "callers_idle": ("callers", IDLE_CONNECTIONS, lambda: b"", WHOLE),
    "callers_headers": ("callers", IDLE_CONNECTIONS,
                        lambda: b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 8000, WHOLE),
    "workers_whole": ("workers", BODY_CONNECTIONS, lambda: sized_body(BODY_BYTES), WHOLE),
    "operators_whole": ("operators", BODY_CONNECTIONS, lambda: sized_body(BODY_BYTES), WHOLE),
    "operators_large_chunks": ("operators", BODY_CONNECTIONS,
                               lambda: chunked_body(BODY_BYTES, 65536), WHOLE),
    "ready_whole": ("ready", BODY_CONNECTIONS, lambda: sized_body(BODY_BYTES), WHOLE),
    "diagnostics_whole": ("diagnostics", BODY_CONNECTIONS, lambda: sized_body(BODY_BYTES), WHOLE),
    "messages_unfinished": ("messages", MESSAGE_CONNECTIONS,
                            lambda: unfinished_message(MESSAGE_BYTES), WHOLE),
    "messages_idle": ("messages", IDLE_CONNECTIONS, lambda: b"", WHOLE),
}


def check_ordinary_requests(process, number):
    wait_until(process, "an ordinary job is accepted",
               lambda: request(process, "callers", "POST", JOB_PATH % number, JOB) == 200)
    wait_until(process, "the operator's request is answered",
               lambda: request(process, "operators", "GET", "/Config.Get") == 200)
    wait_until(process, "the readiness check is answered",
               lambda: request(process, "ready", "GET", "/readyz") == 200)


def run_case(process, name):
    interface, count, make_data, piece_bytes = CASES[name]
    wait_until(process, "the queues are configured",
               lambda: request(process, "operators", "POST", "/Config.Replace", QUEUES) == 200)
    check_ordinary_requests(process, 0xa0)
    descriptors = process.descriptors()
    data = make_data()
    connections = [Connection(process.ports[interface], data) for _ in range(count)]
    send_all(process, connections, piece_bytes)
    process.check_alive()
    check_ordinary_requests(process, 0xa1)
    peak = process.peak_bytes()
    print(f"peak memory {peak >> 20} MiB, descriptors {process.descriptors()}, "
          f"open connections {sum(c.is_open for c in connections)} of {count}")
    if peak > MEMORY_BYTES:
        raise Failure(f"the process used {peak} bytes")
    for connection in connections:
        connection.socket.close()
    # A few descriptors may be in use for connections to the process itself.
    wait_until(process, "the descriptors are free again",
               lambda: process.descriptors() <= descriptors + 8)
    check_ordinary_requests(process, 0xa2)


def main():
    build, name = sys.argv[1:]
    resource.setrlimit(resource.RLIMIT_NOFILE, (2048, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    with tempfile.TemporaryDirectory() as folder:
        process = Process(build, folder)
        try:
            run_case(process, name)
            process.check_alive()
        except Failure as failure:
            print(f"FAILED: {name}: {failure}\n{process.tail()}")
            return 1
        finally:
            process.stop()
    print(f"passed: {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
