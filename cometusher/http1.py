"""HTTP/1.1 framing in both directions: messages out of bytes (by llhttp), heads into bytes.

Knows nothing of connections, callers or backends. Every size that a peer chooses is bounded here.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Protocol

import httptools

Headers = list[tuple[bytes, bytes]]

MAX_HEAD = 64 * 1024  # bytes of a head, of trailers, and of what frames a body
MAX_BODY = 32 * 1024 * 1024

#: Headers that speak of one connection, or of a framing that is written anew.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    405: b"Method Not Allowed",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

_BUDGET = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])", re.ASCII)
_MAX_BUDGET = 3600.0


class Malformed(Exception):
    """A message that can't be read; `status` is what a caller is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_budget(value: bytes) -> float:
    """Seconds in an `X-Budget`."""
    match = _BUDGET.fullmatch(value.strip())
    if match is None:
        raise Malformed(400, "bad X-Budget")
    return min(float(match[1]) / (1e3 if match[2] == b"m" else 1e6), _MAX_BUDGET)


def format_budget(seconds: float) -> bytes:
    """An `X-Budget` that never says more than there is."""
    return b"%du" % max(0, int(seconds * 1e6))


def end_to_end(headers: Headers) -> Headers:
    """The headers that go on to the other side."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [h for h in headers if h[0] not in HOP_BY_HOP and h[0] not in named]


def response_head(status: int, headers: Iterable[tuple[bytes, bytes]], close: bool) -> bytes:
    """The head of an answer."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Unknown"))]
    lines += [b"%s: %s" % header for header in headers]
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def request_head(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """The head of a request."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Request:
    """A caller's request as it came; header names are in lower case."""

    __slots__ = ("arrived", "body", "charged", "headers", "http10", "keep_alive", "length", "method", "target")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: Headers = []
        self.length: int | None = None  # announced; None where chunked
        self.body = bytearray()
        self.charged = 0  # bytes of the body that its memory budget counts
        self.keep_alive = True
        self.http10 = False
        self.arrived = 0.0

    def header(self, name: bytes) -> bytes | None:
        """The first header of this name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Response:
    """A backend's answer as far as it has come."""

    __slots__ = ("body", "headers", "keep_alive", "length", "status", "until_eof")

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.length: int | None = None  # announced; None where chunked or ended by the connection
        self.until_eof = False
        self.keep_alive = True
        self.body: list[bytes] = []


class _Parser:
    """What both directions share: the counting of bytes that are not body, and the reading of framing."""

    def __init__(self) -> None:
        self._overhead = 0  # bytes since the message began that were not body
        self._headers: Headers = []
        self._head_done = False

    def _begin(self) -> None:
        self._headers = []
        self._overhead = 0
        self._head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_done:
            return  # a trailer; nothing here needs one
        self._overhead += len(name) + len(value) + 32
        if self._overhead > MAX_HEAD:
            raise Malformed(431, "head too large")
        self._headers.append((name.lower(), value.strip()))

    def _framing(self) -> tuple[int | None, bool]:
        """Announced length and whether the body is chunked."""
        length: int | None = None
        chunked = False
        for name, value in self._headers:
            if name == b"content-length":
                if not value.isdigit() or len(value) > 18:
                    raise Malformed(400, "bad Content-Length")
                length = int(value)
            elif name == b"transfer-encoding":
                chunked = True
        return (None if chunked else length), chunked

    def _feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> bytes:
        """Parse; returns what came after an offer of another protocol, which is declined."""
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            return data[upgrade.args[0] :]
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, Malformed):
                raise cause from None
            if isinstance(error, httptools.HttpParserCallbackError) and cause is not None:
                raise cause from None
            raise Malformed(400, "malformed HTTP") from None
        return b""


class RequestSink(Protocol):
    """Who is told of requests."""

    def on_request_head(self, request: Request) -> None:
        """The head is whole."""

    def on_request(self, request: Request) -> None:
        """The last byte has come."""


class RequestParser(_Parser):
    """Requests out of the bytes of one connection; `feed` raises Malformed."""

    def __init__(self, sink: RequestSink) -> None:
        super().__init__()
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self.current: Request | None = None  # the one being read

    def feed(self, data: bytes) -> None:
        """Read on; calls the sink."""
        while data:
            before = len(self.current.body) if self.current else 0
            self._overhead += len(data)
            rest = self._feed(self._parser, data)
            current = self.current
            if current is not None:
                # Guards against heads, trailers and chunk framing without end, which the parser would keep.
                self._overhead -= max(0, len(current.body) - before)
                if self._overhead > MAX_HEAD + 16 * len(current.body):
                    raise Malformed(400 if self._head_done else 431, "head too large")
            data = rest
            if rest:
                self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self._begin()
        self.current = Request()

    def on_url(self, url: bytes) -> None:
        assert self.current is not None
        self.current.target += url
        if len(self.current.target) > MAX_HEAD:
            raise Malformed(431, "target too long")

    def on_headers_complete(self) -> None:
        request = self.current
        assert request is not None
        self._head_done = True
        request.method = self._parser.get_method()
        request.headers = self._headers
        request.length, chunked = self._framing()
        if request.length is None and not chunked:
            request.length = 0
        request.keep_alive = self._parser.should_keep_alive()
        request.http10 = self._parser.get_http_version() == "1.0"
        if (request.length or 0) > MAX_BODY:
            raise Malformed(413, "body too large")
        self._sink.on_request_head(request)

    def on_body(self, data: bytes) -> None:
        assert self.current is not None
        self.current.body += data
        if len(self.current.body) > MAX_BODY:
            raise Malformed(413, "body too large")

    def on_message_complete(self) -> None:
        request = self.current
        assert request is not None
        self.current = None
        self._sink.on_request(request)


class ResponseSink(Protocol):
    """Who is told of an answer."""

    def on_response_head(self, response: Response) -> None:
        """The head is whole."""

    def on_response_data(self, data: bytes) -> None:
        """More of the body."""

    def on_response_end(self) -> None:
        """The last byte has come."""


class ResponseParser(_Parser):
    """Answers out of the bytes of one connection; `feed` raises Malformed."""

    def __init__(self, sink: ResponseSink) -> None:
        super().__init__()
        self._sink = sink
        self._parser = httptools.HttpResponseParser(self)
        self.response: Response | None = None
        self._interim = False
        self._body = 0

    def feed(self, data: bytes) -> None:
        """Read on; calls the sink."""
        before = self._body
        self._overhead += len(data)
        if self._feed(self._parser, data):
            raise Malformed(502, "unasked upgrade")
        self._overhead -= max(0, self._body - before)
        if self._overhead > MAX_HEAD + 16 * self._body:
            raise Malformed(502, "head too large")

    def finish(self) -> None:
        """The peer has ended its side: completes an answer that its end delimits."""
        response = self.response
        if response is not None and self._head_done and response.until_eof:
            self._end()

    def on_message_begin(self) -> None:
        self._begin()
        self._body = 0
        self.response = Response()

    def on_headers_complete(self) -> None:
        response = self.response
        assert response is not None
        status = self._parser.get_status_code()
        self._interim = 100 <= status < 200
        if self._interim:
            if status == 101:
                raise Malformed(502, "unasked upgrade")
            return
        self._head_done = True
        response.status = status
        response.headers = self._headers
        response.keep_alive = self._parser.should_keep_alive()
        response.length, chunked = self._framing()
        response.until_eof = response.length is None and not chunked and status not in (204, 304)
        self._sink.on_response_head(response)

    def on_body(self, data: bytes) -> None:
        self._body += len(data)
        self._sink.on_response_data(data)

    def on_message_complete(self) -> None:
        if not self._interim:
            self._end()

    def _end(self) -> None:
        self.response = None
        self._head_done = False
        self._sink.on_response_end()
