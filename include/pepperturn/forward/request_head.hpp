// SPDX-License-Identifier: BSL-1.0
/// \file
/// Checks on a caller's request before anything else looks at it, the fields
/// that forwarding needs, and the head that goes to a runner.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/forward/wire_names.hpp"
#include "pepperturn/scheduling/prompt_home.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

namespace pepperturn {

namespace http = boost::beast::http;

using caller_request = http::request<http::string_body>;

/// Refuses heads that two readers could understand differently: folded lines,
/// bare line ends, two lengths, a length and chunks, codings other than
/// chunked. Null if the head is good, else what is wrong with it.
/// \param head up to and including the empty line
[[nodiscard]] const char* find_ambiguity(std::string_view head);

/// What forwarding reads from a request.
struct request_fields
{
    std::string m_id;
    std::string m_host;
    std::optional<milliseconds> m_deadline;
    std::string m_program;
    /// Until the whole program should be over; empty: not told.
    std::optional<milliseconds> m_program_remaining;
    std::optional<std::uint64_t> m_token_budget;
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_max_tokens = 0;
    /// Tokens that its caller expects to be generated; 0: not told.
    std::uint32_t m_expected_tokens = 0;
    std::string m_parent_turn;
    /// In order; empty if they are unknown or do not read as parts.
    std::vector<prompt_part> m_prompt_parts;
    /// The last event that the caller has of a stream it takes up again.
    std::optional<std::uint64_t> m_last_event_id;
    /// What is wrong with a field that was sent; empty: nothing.
    std::string_view m_error;

    friend bool operator==(const request_fields&,
                           const request_fields&) = default;
};

[[nodiscard]] request_fields decode_fields(const caller_request& request,
                                           const wire_names& names);

/// The credentials of a request, as they stand in its head.
[[nodiscard]] credentials decode_credentials(const caller_request& request,
                                             const wire_names& names);

/// What is set for one attempt.
struct attempt_head
{
    std::string m_runner;
    milliseconds m_remaining{0};
    std::size_t m_body_bytes = 0;
    std::optional<std::uint32_t> m_urgency;
    /// Goes before what the caller sent; empty: the caller's, if any.
    std::optional<std::uint64_t> m_last_event_id = {};
    /// Callers have keys: the key and what the caller says of its workspace
    /// are left out.
    bool m_strips_credentials = false;
    /// Empty: of no workspace.
    std::string m_workspace = {};
};

/// The caller's head as a runner is to get it: same method, target and
/// headers, less those of one connection and those only the system sets.
[[nodiscard]] std::string upstream_head(const caller_request& request,
                                        const attempt_head& attempt,
                                        const wire_names& names);

/// True if \p name concerns one connection only, or is named by
/// \p connection, the value of the Connection header.
[[nodiscard]] bool is_hop_by_hop(std::string_view name,
                                 std::string_view connection);

[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace pepperturn
