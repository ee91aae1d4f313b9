"""The control socket: each connection carries one request and one response, each a line of JSON.

    {"version":1,"command":"status","names":["a"]}
    {"version":1,"ok":true,...}        or        {"version":1,"ok":false,"error":"..."}

The socket is in the state directory with mode 0600, and only root and the supervisor's own user are served. The size
and the time of a request are bounded, and so is the number of connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson

VERSION = 1
MAX_REQUEST = 64 * 1024  # bytes
REQUEST_TIMEOUT = 2.0  # seconds for reading a request, and for writing its response
MAX_CONNECTIONS = 32  # at once
_UCRED = "3i"  # struct ucred of unix(7): pid, uid, gid

Handler = Callable[[str, dict[str, Any]], Awaitable[dict[str, Any]]]


class ControlError(Exception):
    """A request cannot be served; the text is the error in the response."""


def peer_uid(sock: socket.socket) -> int:
    """Return the user id of the peer (SO_PEERCRED of unix(7))."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize(_UCRED))
    return int(struct.unpack(_UCRED, raw)[1])


class ControlServer:
    """Serves requests with a handler that gets the command and the whole request."""

    def __init__(self, path: Path, handler: Handler, uids: frozenset[int] | None = None) -> None:
        self._path = path
        self._handler = handler
        self._uids = uids if uids is not None else frozenset({0, os.geteuid()})
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, replacing a socket that an earlier process left; the caller holds the state directory's lock."""
        with contextlib.suppress(FileNotFoundError):
            self._path.unlink()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        previous_umask = os.umask(0o177)
        try:
            sock.bind(str(self._path))
        finally:
            os.umask(previous_umask)
        self._server = await asyncio.start_unix_server(self._on_connection, sock=sock, limit=MAX_REQUEST)

    async def stop(self) -> None:
        """Close the socket, and give pending responses a second to be sent."""
        if self._server is not None:
            self._server.close()
        with contextlib.suppress(FileNotFoundError):
            self._path.unlink()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=1.0)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        is_full = len(self._tasks) >= MAX_CONNECTIONS
        self._tasks.add(task)
        try:
            reply = (
                {"ok": False, "error": "too many control connections"}
                if is_full
                else await self._handle_request(reader, writer)
            )
            if reply is not None:
                writer.write(orjson.dumps({"version": VERSION} | reply) + b"\n")
                async with asyncio.timeout(REQUEST_TIMEOUT):
                    await writer.drain()
        except (OSError, TimeoutError):
            pass  # the client has disconnected, or does not read
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> dict[str, Any] | None:
        if peer_uid(writer.get_extra_info("socket")) not in self._uids:
            return {"ok": False, "error": "not your fleet"}
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT):
                line = await reader.readuntil(b"\n")
        except asyncio.LimitOverrunError:
            return {"ok": False, "error": f"the request exceeds {MAX_REQUEST} bytes"}
        except TimeoutError:
            return {"ok": False, "error": f"no complete request within {REQUEST_TIMEOUT:g} s"}
        except asyncio.IncompleteReadError:
            return None
        try:
            request = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            return {"ok": False, "error": f"not JSON: {error}"}
        if not isinstance(request, dict) or not isinstance(request.get("command"), str):
            return {"ok": False, "error": "command: missing"}
        if request.get("version") != VERSION:
            return {"ok": False, "error": f"version {request.get('version')!r} is not spoken here; {VERSION} is"}
        try:
            return {"ok": True} | await self._handler(request["command"], request)
        except ControlError as error:
            return {"ok": False, "error": str(error)}


class NoSupervisor(Exception):
    """No supervisor answers at a control socket."""


def send_request(path: Path, command: str, timeout: float, **values: Any) -> dict[str, Any]:
    """Send one request and return the response; raises NoSupervisor or ControlError. `timeout` is in seconds."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(timeout)
        try:
            sock.connect(str(path))
            with contextlib.suppress(BrokenPipeError):  # refused before it was read; the response tells why
                sock.sendall(orjson.dumps({"version": VERSION, "command": command} | values) + b"\n")
            with sock.makefile("rb") as stream:
                line = stream.readline()
        except TimeoutError:
            raise ControlError(f"{path}: the supervisor did not answer within {timeout:g} s") from None
        except (FileNotFoundError, ConnectionRefusedError):
            raise NoSupervisor(f"{path}: no supervisor runs") from None
        except OSError as error:
            raise ControlError(f"{path}: {error.strerror}") from None
    if not line:
        raise ControlError(f"{path}: the supervisor exited before it answered")
    reply: dict[str, Any] = orjson.loads(line)
    if not reply.get("ok"):
        raise ControlError(str(reply.get("error", "refused")))
    return reply
