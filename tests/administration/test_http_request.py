"""The parser of administration requests."""

from __future__ import annotations

import pytest

from cairnvane.administration.http_request import (
    MAX_HEAD_BYTES,
    HttpRequest,
    InvalidHttpRequestError,
    RequestParser,
)


@pytest.mark.parametrize("chunk_size", [1, 3, 1_000])
def test_request_is_parsed_in_chunks_of_any_size(chunk_size: int) -> None:
    data = b"POST /-/drain?x HTTP/1.1\r\nContent-Length: 5\r\nA:b\r\n\r\nhello"
    parser = RequestParser()
    assert not parser.has_received_data
    results = [parser.feed(data[start : start + chunk_size]) for start in range(0, len(data), chunk_size)]
    assert (
        parser.has_received_data
        and results[-1] == HttpRequest("POST", "/-/drain?x")
        and not any(results[:-1])
    )


def test_endless_head_is_rejected() -> None:
    parser = RequestParser()
    with pytest.raises(InvalidHttpRequestError) as error:
        for _ in range(MAX_HEAD_BYTES + 1):
            assert parser.feed(b"x") is None
    assert error.value.status == 431
