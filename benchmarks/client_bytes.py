"""Counts the bytes that a worker client sends and receives."""

from typing import Any

from aiohttp import TraceConfig

from radishlift.workers.client import WorkerClient


def count_bytes(client: WorkerClient) -> list[int]:
    """Traces header and body bytes of a client in both directions.

    Returns a list of sizes to which each later transfer is appended.
    """
    sizes: list[int] = []

    async def chunk(_session: Any, _context: Any, params: Any) -> None:
        sizes.append(len(params.chunk))

    async def headers(_session: Any, _context: Any, params: Any) -> None:
        pairs = params.headers.items()
        sizes.append(sum(len(name) + len(text) + 4 for name, text in pairs))

    async def end(_session: Any, _context: Any, params: Any) -> None:
        pairs = params.response.raw_headers
        sizes.append(sum(len(name) + len(text) + 4 for name, text in pairs))

    trace = TraceConfig()
    trace.on_request_chunk_sent.append(chunk)
    trace.on_response_chunk_received.append(chunk)
    trace.on_request_headers_sent.append(headers)
    trace.on_request_end.append(end)
    trace.freeze()
    client._session._trace_configs.append(trace)
    return sizes
