"""The parser of administration requests."""

from __future__ import annotations

import pytest

from cairnvane.administration.http_request import (
    MAX_HEAD,
    HttpRequest,
    InvalidHttpRequestError,
    RequestParser,
)


@pytest.mark.parametrize("piece", [1, 3, 1_000])
def test_request_is_parsed_in_pieces_of_any_size(piece: int) -> None:
    data = b"POST /-/drain?x HTTP/1.1\r\nContent-Length: 5\r\nA:b\r\n\r\nhello"
    head = RequestParser()
    assert not head.has_begun
    results = [head.feed(data[at : at + piece]) for at in range(0, len(data), piece)]
    assert head.has_begun and results[-1] == HttpRequest("POST", "/-/drain?x") and not any(results[:-1])


def test_endless_head_is_rejected() -> None:
    head = RequestParser()
    with pytest.raises(InvalidHttpRequestError) as error:
        for _ in range(MAX_HEAD + 1):
            assert head.feed(b"x") is None
    assert error.value.status == 431
