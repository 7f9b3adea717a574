// SPDX-License-Identifier: BSL-1.0
/// \file
/// Reads the body of a runner's response, and judges whether it is complete:
/// a body may end by its framing before what it holds has ended.
#pragma once

#include "pepperturn/forward/event_boundary.hpp"
#include "pepperturn/forward/request_head.hpp"
#include "pepperturn/forward/upstream_pool.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <optional>

namespace pepperturn {

/// How a response marks the end of its body.
enum class body_framing : std::uint8_t
{
    /// No head was received.
    unknown,
    length,
    chunks,
    /// Neither of these: the body ends with its connection.
    connection_close
};

[[nodiscard]] const char* to_string(body_framing framing);

/// What became of a piece of a response.
enum class sink_result : std::uint8_t
{
    accepted,
    caller_disconnected,
    /// Longer than a response that is buffered may be.
    too_long,
    /// A run that was to resume a stream does not continue it.
    not_continued,
    /// Bytes that no event ends, or more events than were asked for: what the
    /// runner sends is no response.
    endless
};

[[nodiscard]] const char* to_string(sink_result result);

namespace detail {

using response_parser = http::response_parser<http::buffer_body>;

/// Bytes that are read of a response at a time.
inline constexpr std::size_t read_bytes = 8192;
inline constexpr unsigned status_ok = 200;

[[nodiscard]] body_framing framing_of(const response_parser& parser);

/// Whether the body is a series of events. A streaming route's response is one
/// unless it names another type; a failure's text is none, whatever its type.
[[nodiscard]] bool has_events(const http::response_header<>& head,
                              bool streaming);

/// Looks for the end of a body whose framing has ended. Runners that fail may
/// close the connection, or send the last chunk, inside an event.
/// \param write_failed the connection failed under the request
/// \param events of a stream of events; null: another body
/// \returns why the body is not complete; null if it is
[[nodiscard]] const char* find_missing_end(body_framing framing,
                                           bool write_failed,
                                           const event_boundary* events);

struct body_read
{
    /// The framing has ended.
    bool m_complete = false;
    sink_result m_sink_result = sink_result::accepted;
    /// This VM could not buffer the response; not the runner's fault.
    bool m_out_of_memory = false;
    std::string m_reason;
};

/// Receives a body as it arrives.
struct body_sink
{
    std::function<task<sink_result>(std::string_view)> m_write;
    /// Reserves memory for each piece after the first; empty: nothing is
    /// buffered.
    std::function<task<bool>()> m_reserve;
};

/// Reads the body until its framing ends, and passes it to \p sink as it
/// arrives.
/// \param events receives the bytes of a stream of events; null: not a stream
/// \param gap_timeout maximum wait for each piece; empty: no limit
[[nodiscard]] task<body_read>
read_body(std::shared_ptr<upstream_connection> connection,
          response_parser& parser, event_boundary* events,
          std::optional<milliseconds> gap_timeout, body_sink sink);

} // namespace detail

} // namespace pepperturn
