"""HTTP/1.1 parsing of messages that the network splits at arbitrary positions."""

from __future__ import annotations

import pytest

from cometusher.http1 import MAX_HEAD, Malformed, Request, RequestParser, ResponseParser


class RequestCollector:
    """Collects the parsed requests."""

    def __init__(self) -> None:
        self.requests: list[Request] = []

    def on_request_begin(self) -> None: ...

    def on_request_head(self, request: Request) -> None: ...

    def on_large_body(self, request: Request) -> None: ...

    def on_request(self, request: Request) -> None:
        self.requests.append(request)


BODY = b"x" * 60000
HEAD = b"POST /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: 1\r\nContent-Length: 60000\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 60000\r\n\r\n"


@pytest.mark.parametrize("cut", range(1, len(HEAD), 3))
def test_request_head_split_anywhere_is_parsed_with_the_body_behind_it(cut: int) -> None:
    sink = RequestCollector()
    parser = RequestParser(sink)
    for _ in range(2):
        parser.feed(HEAD[:cut])
        parser.feed(HEAD[cut:] + BODY)
    assert [bytes(request.body) for request in sink.requests] == [BODY, BODY]


@pytest.mark.parametrize("cut", range(1, len(ANSWER), 3))
def test_answer_head_split_anywhere_is_parsed_with_the_body_behind_it(cut: int) -> None:
    parser = ResponseParser()
    assert parser.feed(ANSWER[:cut]) is None
    answer = parser.feed(ANSWER[cut:] + BODY)
    assert answer is not None and bytes(answer.body) == BODY


@pytest.mark.parametrize("piece", [1, 100, 5000])
def test_endless_head_is_bounded(piece: int) -> None:
    parser = RequestParser(RequestCollector())
    sent = 0
    with pytest.raises(Malformed):
        parser.feed(b"GET / HTTP/1.1\r\nX-A: ")
        while sent < 2 * MAX_HEAD:
            parser.feed(b"x" * piece)
            sent += piece
    assert sent <= MAX_HEAD + piece
    small = RequestParser(RequestCollector())
    with pytest.raises(Malformed):
        small.feed(b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2000)
