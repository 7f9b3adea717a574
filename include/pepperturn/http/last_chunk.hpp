// SPDX-License-Identifier: BSL-1.0
/// \file
/// Keeps the library's parser from looking again at too little of a chunked
/// body that ends with its first chunk: it would fail an assertion, which ends
/// the process.
#pragma once

#include "pepperturn/base/async.hpp"

namespace pepperturn {

/// Of the shortest chunked body, in bytes.
inline constexpr std::size_t least_chunked_bytes = 5;

/// Whether \p buffer, which is flat and of which \p parser has seen all, must
/// grow before the parser sees it again: see \ref read_last_chunk.
template <class Buffer, class Parser>
[[nodiscard]] bool awaits_last_chunk(const Buffer& buffer, const Parser& parser)
{
    if (buffer.size() == 0 || buffer.size() >= least_chunked_bytes ||
        !parser.is_header_done() || !parser.chunked())
        return false;
    return *static_cast<const char*>(buffer.data().data()) == '0';
}

/// Reads until \p buffer holds as much as the shortest chunked body.
template <class Stream, class Buffer>
[[nodiscard]] task<> read_last_chunk(Stream& stream, Buffer& buffer,
                                     error_code& ec)
{
    constexpr std::size_t read_bytes = 512;
    while (!ec && buffer.size() < least_chunked_bytes)
        buffer.commit(co_await stream.async_read_some(
            buffer.prepare(read_bytes), into(ec)));
}

} // namespace pepperturn
