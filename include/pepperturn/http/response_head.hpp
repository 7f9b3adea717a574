// SPDX-License-Identifier: BSL-1.0
/// \file
/// What the head of a response must be. Nothing in a broken head can be
/// believed: neither its status, nor that the request has not run, nor the
/// length of the body. Every reader of responses refuses the same heads, and
/// every writer of heads uses the same checks.
#pragma once

#include "pepperturn/http/response_status.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>
#include <string>
#include <string_view>

namespace pepperturn {

namespace http = boost::beast::http;

/// Status of a response that stands in for one that cannot be passed on.
inline constexpr unsigned bad_gateway_status = 502;

/// What is broken in a head.
enum class head_fault : std::uint8_t
{
    none,
    /// No status line of HTTP/1.0 or HTTP/1.1.
    status_line,
    /// A status that no answer can have.
    status,
    /// A name that is no token, or a line without one.
    field_name,
    /// A control character in a value.
    field_value,
    /// A length that is no number, or several that differ.
    content_length,
    /// A coding other than chunked, or one that contradicts the length.
    transfer_coding,
    /// More bytes than a head may have.
    too_long,
    /// Interim responses without end.
    too_many_interim
};

[[nodiscard]] const char* to_string(head_fault fault);

/// The fault for which a parser refused a head; none: it failed for another
/// reason, as when the connection ended.
[[nodiscard]] head_fault fault_of(const boost::system::error_code& ec);

/// Looks for what a parser lets pass: a status that no answer can have, and
/// codings of the body that it does not decode.
[[nodiscard]] head_fault find_head_fault(const http::response_header<>& head);

/// Whether the head states how its body is framed. An interim response has no
/// body, so that one which does is broken: its body would be read as a head.
[[nodiscard]] bool has_framing(const http::response_header<>& head);

/// Whether \p name may be the name of a field (RFC 9110, 5.1).
[[nodiscard]] bool is_token(std::string_view name);

/// Whether \p value may be the value of a field (RFC 9110, 5.5).
[[nodiscard]] bool is_field_value(std::string_view value);

/// Appends the status line of a response; that of a 502 if no answer can have
/// \p status.
void append_status_line(std::string& out, std::int64_t status);

/// Appends the line of a field, or nothing if it would break the head.
void append_field(std::string& out, std::string_view name,
                  std::string_view value);

/// A head that was refused.
struct refused_head
{
    /// Who sent it: a runner's id, or an address.
    std::string m_peer;
    /// Id or target of the request that it was to answer.
    std::string m_request;
    head_fault m_fault = head_fault::none;
    /// 0: none was read.
    unsigned m_status = 0;

    friend bool operator==(const refused_head&, const refused_head&) = default;
};

/// Writes a log line, and counts the head for the whole process. Thread-safe.
/// \returns the reason for logs and responses
std::string log_refused_head(const refused_head& head);

/// Heads that this process has refused for \p fault since its start.
[[nodiscard]] std::uint64_t refused_heads(head_fault fault);

/// Appends the number of refused heads for each fault, one `PREFIX_FAULT N` a
/// line.
void write_refused_heads(std::string& out, const std::string& prefix);

} // namespace pepperturn
