// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/response_body.hpp"

#include "pepperturn/http/response_reader.hpp"

#include <array>
#include <boost/algorithm/string/predicate.hpp>

namespace pepperturn {

const char* to_string(body_framing framing)
{
    switch (framing)
    {
    case body_framing::unknown:
        return "unknown";
    case body_framing::length:
        return "length";
    case body_framing::chunks:
        return "chunks";
    case body_framing::connection_close:
        return "connection_close";
    }
    return "unknown";
}

const char* to_string(sink_result result)
{
    switch (result)
    {
    case sink_result::accepted:
        return "accepted";
    case sink_result::caller_disconnected:
        return "the caller has disconnected";
    case sink_result::too_long:
        return "response is longer than the limit for buffered responses";
    case sink_result::not_continued:
        return "the run does not continue after the last event";
    case sink_result::endless:
        return "the runner sends more than an event or a response can have";
    }
    return "unknown";
}

namespace detail {

body_framing framing_of(const response_parser& parser)
{
    if (parser.need_eof())
        return body_framing::connection_close;
    return parser.chunked() ? body_framing::chunks : body_framing::length;
}

bool has_events(const http::response_header<>& head, bool streaming)
{
    constexpr std::string_view event_stream = "text/event-stream";
    if (head.result_int() != status_ok)
        return false;
    const auto value = head[http::field::content_type];
    const std::string_view type(value.data(), value.size());
    if (type.empty())
        return streaming;
    return boost::algorithm::istarts_with(type, event_stream);
}

const char* find_missing_end(body_framing framing, bool write_failed,
                             const event_boundary* events)
{
    const bool closed = framing == body_framing::connection_close;
    if (closed && write_failed)
        return "the connection failed while the request was being sent";
    if (events == nullptr)
        return nullptr;
    if (events->inside_event())
        return "the stream ended inside an event";
    if (closed && events->complete_events() == 0)
        return "the connection closed before the first event";
    return nullptr;
}

task<body_read> read_body(std::shared_ptr<upstream_connection> connection,
                          response_parser& parser, event_boundary* events,
                          std::optional<milliseconds> gap_timeout,
                          body_sink sink)
{
    body_read out;
    std::array<char, read_bytes> chunk;
    auto capacity = chunk.size();
    while (!parser.is_done())
    {
        if (capacity == 0)
        {
            out.m_out_of_memory = !co_await sink.m_reserve();
            capacity = chunk.size();
        }
        if (out.m_out_of_memory)
        {
            out.m_reason = "response exceeds the memory available on this VM";
            co_return out;
        }
        error_code ec;
        if (gap_timeout)
            connection->m_stream.expires_after(*gap_timeout);
        const auto count = co_await read_body_piece(
            connection->m_stream, connection->m_buffer, parser,
            asio::buffer(chunk.data(), capacity), ec);
        if (ec)
        {
            out.m_reason = ec.message();
            co_return out;
        }
        if (sink.m_reserve)
            capacity -= count;
        if (events != nullptr)
            (void)events->consume({chunk.data(), count});
        if (count > 0)
            out.m_sink_result =
                co_await sink.m_write(std::string_view(chunk.data(), count));
        if (out.m_sink_result != sink_result::accepted)
        {
            out.m_reason = to_string(out.m_sink_result);
            co_return out;
        }
    }
    out.m_complete = true;
    co_return out;
}

} // namespace detail

} // namespace pepperturn
