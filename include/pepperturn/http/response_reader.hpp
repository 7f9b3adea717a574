// SPDX-License-Identifier: BSL-1.0
/// \file
/// Reads responses from a connection: the head of the answer, past interim
/// responses, and the body piece by piece.
#pragma once

#include "pepperturn/http/last_chunk.hpp"
#include "pepperturn/http/response_head.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <optional>

namespace pepperturn {

/// Limits of one response, in bytes.
struct response_limits
{
    std::uint32_t m_head_bytes = 32U << 10U;
    std::uint64_t m_body_bytes = 0;
};

/// Interim responses that may come before an answer.
inline constexpr unsigned max_interim_responses = 16;

/// Reads the head of the answer into \p parser, which is made anew for it.
/// Interim responses before it are dropped.
/// \param head_only the request was one whose answer has no body (HEAD)
/// \returns what is broken in the head; with \p ec set and no fault, no head
/// was received
template <class Stream, class Buffer, class Parser>
[[nodiscard]] task<head_fault>
read_response_head(Stream& stream, Buffer& buffer,
                   std::optional<Parser>& parser, response_limits limits,
                   bool head_only, error_code& ec)
{
    for (unsigned interim = 0; interim <= max_interim_responses; ++interim)
    {
        parser.emplace();
        // Until the status line is read; the library's default is a success.
        parser->get().result(0U);
        parser->header_limit(limits.m_head_bytes);
        parser->body_limit(limits.m_body_bytes);
        parser->skip(head_only);
        co_await http::async_read_header(stream, buffer, *parser, into(ec));
        if (ec)
            co_return fault_of(ec);
        const auto& head = parser->get().base();
        if (!is_interim_status(head.result_int()))
            co_return find_head_fault(head);
        if (has_framing(head))
            co_return head_fault::status;
    }
    co_return head_fault::too_many_interim;
}

/// Reads the next piece of the body into \p piece.
/// \returns its bytes, which may be none; the body has ended once the parser
/// is done
template <class Stream, class Buffer>
[[nodiscard]] task<std::size_t>
read_body_piece(Stream& stream, Buffer& buffer,
                http::response_parser<http::buffer_body>& parser,
                asio::mutable_buffer piece, error_code& ec)
{
    parser.get().body().data = piece.data();
    parser.get().body().size = piece.size();
    if (awaits_last_chunk(buffer, parser))
        co_await read_last_chunk(stream, buffer, ec);
    if (!ec)
        co_await http::async_read_some(stream, buffer, parser, into(ec));
    if (ec == http::error::need_buffer)
        ec = {};
    co_return piece.size() - parser.get().body().size;
}

} // namespace pepperturn
