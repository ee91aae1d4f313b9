"""HTTP/1.1 framing: parses requests and answers (with llhttp), and formats message heads.

Independent of connections, callers and backends. Every size that a peer can choose is bounded here.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from typing import Protocol

import httptools

from cometusher.stream import BodyStream

Headers = list[tuple[bytes, bytes]]

MAX_HEAD = 16 * 1024  # bytes of a head, of trailers, and of the framing of a body
FIELD_COST = 32  # bytes that a field counts beside its name and value
MAX_FIELDS = 100  # lines of a head
FIELD_OVERHEAD = 150  # bytes of memory that a field takes beside its name and value
MAX_BODY = 64 * 1024  # bytes of a body, in either direction, that is buffered; a longer one is streamed
MAX_STREAM = 40 * 1024 * 1024  # bytes of any body
MAX_INTERIM_ANSWERS = 8  # 1xx answers before the final one

#: Headers that concern a single connection, or framing that is written anew (RFC 9110, section 7.6.1).
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

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_BUDGET = re.compile(rb"(\d{1,15}(?:\.\d{1,9})?)([mu])", re.ASCII)
_MAX_BUDGET = 3600.0  # seconds


class Malformed(Exception):
    """A message that is invalid or not acceptable; `status` is the HTTP status for the caller."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def parse_budget(value: bytes) -> float:
    """Parses an `X-Budget` value into seconds, at most _MAX_BUDGET; raises Malformed."""
    match = _BUDGET.fullmatch(value.strip())
    if match is None:
        raise Malformed(400, "bad X-Budget")
    return min(float(match[1]) / (1e3 if match[2] == b"m" else 1e6), _MAX_BUDGET)


def format_budget(seconds: float) -> bytes:
    """Formats seconds as an `X-Budget` value, rounded down to a microsecond."""
    return b"%du" % max(0, int(seconds * 1e6))


def end_to_end(headers: Headers) -> Headers:
    """The headers that are forwarded to the other side: all but those of the connection itself."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    return [h for h in headers if h[0] not in HOP_BY_HOP and h[0] not in named]


def response_head(status: int, headers: Iterable[tuple[bytes, bytes]], close: bool) -> bytes:
    """Formats the head of an answer."""
    lines = [b"HTTP/1.1 %d %s" % (status, REASON_PHRASES.get(status, b"Unknown"))]
    lines += [b"%s: %s" % header for header in headers]
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Formats a part of a body as a chunk (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def request_head(method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Formats the head of a request."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


class Request:
    """A caller's request as it arrived; header names are in lower case."""

    __slots__ = (
        "body",
        "headers",
        "http10",
        "keep_alive",
        "length",
        "method",
        "received",
        "reserved_bytes",
        "reserved_head_bytes",
        "stream",
        "target",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: Headers = []
        self.length: int | None = None  # from Content-Length; None if chunked
        self.body = bytearray()
        self.received = 0  # bytes of the body
        self.stream: BodyStream | None = None  # holds the body instead of `body` if it is streamed
        self.reserved_bytes = 0  # bytes reserved for the body in the memory budget
        self.reserved_head_bytes = 0  # bytes reserved for the head
        self.keep_alive = True
        self.http10 = False

    def header(self, name: bytes) -> bytes | None:
        """The value of a header, or None; raises Malformed if it is repeated, as readers differ in which they use."""
        values = [value for key, value in self.headers if key == name]
        if len(values) > 1:
            raise Malformed(400, f"repeated {name.decode()}")
        return values[0] if values else None


class Response:
    """A backend's answer, as far as it has arrived."""

    __slots__ = ("body", "body_sink", "headers", "keep_alive", "length", "received", "status", "until_eof")

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = []
        self.length: int | None = None  # from Content-Length; None if chunked or ended by the connection's end
        self.until_eof = False
        self.keep_alive = True
        self.body = bytearray()
        self.received = 0  # bytes of the body
        self.body_sink: Callable[[bytes], None] | None = None  # receives the body instead of `body`, if set


class _Parser:
    """The common part of both parsers: counts the bytes that are not body, and determines the framing."""

    def __init__(self) -> None:
        self._overhead_bytes = 0  # bytes since the start of the message that were not body
        self._head_bytes = 0  # bytes of its headers, and the cost of storing them
        self._headers: Headers = []
        self.head_done = False

    def _reset(self) -> None:
        self._headers = []
        self._overhead_bytes = self._head_bytes = 0
        self.head_done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_done:
            return  # a trailer, which is ignored
        # The bytes read so far are no measure: the read that ends a head may contain a whole body.
        self._head_bytes += len(name) + len(value) + FIELD_COST
        headers = self._headers
        if self._head_bytes > MAX_HEAD or len(headers) >= MAX_FIELDS:
            raise Malformed(431, "head too large")
        headers.append((name.lower(), value.strip()))

    @property
    def head_memory(self) -> int:
        """Bytes of memory that the present head takes so far."""
        return self._head_bytes + (FIELD_OVERHEAD - FIELD_COST) * len(self._headers)

    def _framing(self) -> tuple[int | None, bool]:
        """Returns the announced length, if any, and whether the body is chunked; raises Malformed.

        Rejects messages whose end two readers could see in different places (request smuggling): what one takes
        for body, the other takes for the next message. Stricter than the parser: framing must be given exactly
        once, in one way, in its plain form. The cost: a peer that repeats an equal Content-Length is rejected.
        """
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if len(lengths) + len(codings) > 1:
            raise Malformed(400, "ambiguous framing")
        if codings and codings[0].lower() != b"chunked":
            raise Malformed(400, "unknown Transfer-Encoding")
        if not lengths:
            return None, bool(codings)
        if not lengths[0].isdigit() or len(lengths[0]) > 18:
            raise Malformed(400, "bad Content-Length")
        if int(lengths[0]) > MAX_STREAM:
            raise Malformed(413, "body too large")
        return int(lengths[0]), False

    def _feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> bytes:
        """Parses `data`; returns what follows a declined upgrade request. Raises Malformed."""
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
    """Receives the events of a request parser."""

    def on_request_begin(self) -> None:
        """The first byte of a request has arrived."""

    def on_request_head(self, request: Request) -> None:
        """The head is complete."""

    def on_large_body(self, request: Request) -> None:
        """The body is longer than MAX_BODY; sets `request.stream`."""

    def on_request(self, request: Request) -> None:
        """The last byte of the request has arrived."""


class RequestParser(_Parser):
    """Parses the requests of one connection; `feed` raises Malformed."""

    def __init__(self, sink: RequestSink) -> None:
        super().__init__()
        self._sink = sink
        self._parser = httptools.HttpRequestParser(self)
        self.current: Request | None = None  # the request being read
        self._body_parts: list[bytes] = []  # of a streamed body, read by the present call of `feed`

    def feed(self, data: bytes) -> None:
        """Parses the next bytes and calls the sink."""
        while data:
            received_before = self.current.received if self.current else 0
            self._overhead_bytes += len(data)
            remaining = self._feed(self._parser, data)
            self._pass_body_on()
            current = self.current
            if current is not None:
                # Bounds heads, trailers and chunk framing, which the parser would buffer without limit.
                self._overhead_bytes -= max(0, current.received - received_before)
                if self._overhead_bytes > MAX_HEAD + 16 * current.received:
                    raise Malformed(400 if self.head_done else 431, "head too large")
            data = remaining
            if remaining:
                self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self._sink.on_request_begin()
        self._reset()
        self.current = Request()

    def on_url(self, url: bytes) -> None:
        assert self.current is not None
        self.current.target += url
        if len(self.current.target) > MAX_HEAD:
            raise Malformed(431, "target too long")

    def on_headers_complete(self) -> None:
        request = self.current
        assert request is not None
        self.head_done = True
        request.method = self._parser.get_method()
        request.headers = self._headers
        request.length, chunked = self._framing()
        if request.length is None and not chunked:
            request.length = 0
        request.keep_alive = self._parser.should_keep_alive()
        request.http10 = self._parser.get_http_version() == "1.0"
        self._sink.on_request_head(request)
        if request.length is not None and request.length > MAX_BODY:
            self._sink.on_large_body(request)

    def on_body(self, data: bytes) -> None:
        request = self.current
        assert request is not None
        request.received += len(data)
        if request.stream is not None:
            if request.received > MAX_STREAM:
                raise Malformed(413, "body too large")
            self._body_parts.append(data)
            return
        request.body += data
        if request.received > MAX_BODY:
            self._sink.on_large_body(request)

    def discard(self) -> None:
        """Releases what was read of the current request, which is not needed any more."""
        self.current = None
        self._headers, self._body_parts = [], []

    def close(self) -> None:
        """Ends the use of the parser; breaks the references between it and its owner, so that both are freed now."""
        self.discard()
        del self._parser, self._sink

    def _pass_body_on(self) -> None:
        """Passes the parts of a body on as one, since a chunk may hold a single byte."""
        parts, self._body_parts = self._body_parts, []
        request = self.current
        if parts and request is not None and request.stream is not None:
            if request.received == request.length:
                request.stream.announce_end()
            request.stream.feed(b"".join(parts))

    def on_message_complete(self) -> None:
        request = self.current
        assert request is not None
        self._pass_body_on()
        self.current = None
        self._headers = []  # the request's own; a connection may rest for long
        self._sink.on_request(request)


class ResponseParser(_Parser):
    """Parses the answers of one connection, one for each request; `feed` raises Malformed.

    Invalid input and answers longer than MAX_STREAM are Malformed. Input behind a complete answer is not parsed but
    recorded in `has_surplus`, as it must never become the answer to the next request. The cost: a backend with
    answers above MAX_STREAM can't be used.
    """

    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)
        self._complete_answer: Response | None = None  # complete, and not yet returned by `feed`
        self._interim_count = 0
        self.response: Response | None = None  # the answer being read
        self.has_surplus = False  # more bytes arrived than belong to the answer

    def feed(self, data: bytes) -> Response | None:
        """Parses the next bytes; returns the answer once it is complete."""
        received_before = self.response.received if self.response else 0
        self._overhead_bytes += len(data)
        try:
            if self._feed(self._parser, data):
                raise Malformed(502, "unasked upgrade")
            if self.response is not None:
                self._overhead_bytes -= max(0, self.response.received - received_before)
                if self._overhead_bytes > MAX_HEAD + 16 * self.response.received:
                    raise Malformed(502, "head too large")
        except Malformed:
            if self._complete_answer is None:
                raise
            self.has_surplus = True
        return self._take_answer()

    def close(self) -> None:
        """Ends the use of the parser; breaks the references between it and its owner, so that both are freed now."""
        self.response = None
        del self._parser

    def finish(self) -> Response | None:
        """The peer has closed its side: returns an answer that is delimited by the close, else None."""
        if self.response is not None and self.head_done and self.response.until_eof:
            self._complete_answer = self.response
        return self._take_answer()

    def _take_answer(self) -> Response | None:
        complete, self._complete_answer = self._complete_answer, None
        if complete is not None:
            self._interim_count = 0
            self.response = None
            self._headers = []  # the answer's own; a connection may rest for long
        return complete

    def on_message_begin(self) -> None:
        if self._complete_answer is not None:
            raise Malformed(502, "a second answer")
        self._reset()
        self.response = Response()

    def on_headers_complete(self) -> None:
        response = self.response
        assert response is not None
        response.status = self._parser.get_status_code()
        if response.status == 101:
            raise Malformed(502, "unasked upgrade")
        if response.status < 200:
            return
        self.head_done = True
        response.headers = self._headers
        response.keep_alive = self._parser.should_keep_alive()
        response.length, chunked = self._framing()
        response.until_eof = response.length is None and not chunked and response.status not in (204, 304)

    def on_body(self, data: bytes) -> None:
        response = self.response
        assert response is not None
        response.received += len(data)
        if response.received > MAX_STREAM:
            raise Malformed(502, "body too large")
        if response.body_sink is not None:
            response.body_sink(data)
        elif response.status == 200:  # bodies of other answers are not forwarded
            response.body += data

    def on_message_complete(self) -> None:
        response = self.response
        assert response is not None
        if response.status >= 200:
            self._complete_answer = response
            self._overhead_bytes = 0
            return
        self.response = None
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_ANSWERS:
            raise Malformed(502, "interim answers without end")
