// SPDX-License-Identifier: BSL-1.0
/// \file
/// Validates the head of a caller's request, decodes the header fields that
/// forwarding needs, and builds the head that is sent to a runner.
#pragma once

#include "pepperturn/base/time.hpp"
#include "pepperturn/forward/wire_names.hpp"
#include "pepperturn/http/request_framing.hpp"
#include "pepperturn/scheduling/prompt_location.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace pepperturn {

namespace http = boost::beast::http;

using caller_request = http::request<http::string_body>;

/// The header fields of a request that forwarding uses.
struct request_fields
{
    std::string m_id;
    std::string m_host;
    std::optional<milliseconds> m_deadline;
    std::string m_program;
    /// Time until the whole program should end; empty: unknown.
    std::optional<milliseconds> m_program_remaining;
    std::optional<std::uint64_t> m_token_budget;
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_max_tokens = 0;
    /// Output tokens that the caller expects; 0: unknown.
    std::uint32_t m_expected_tokens = 0;
    std::string m_parent_turn;
    /// In prompt order; empty if absent or malformed.
    std::vector<prompt_part> m_prompt_parts;
    /// Last event that the caller has received of a stream that it resumes.
    std::optional<std::uint64_t> m_last_event_id;
    /// Describes a malformed field; empty: all are valid.
    std::string_view m_error;
    /// The program's line of turns and calls that it belongs to.
    std::string m_session = {};

    friend bool operator==(const request_fields&,
                           const request_fields&) = default;
};

[[nodiscard]] request_fields decode_fields(const caller_request& request,
                                           const wire_names& names);

/// The credentials in the head of a request, not yet verified.
[[nodiscard]] credentials decode_credentials(const caller_request& request,
                                             const wire_names& names);

/// The values that are set for one attempt at a runner.
struct attempt_head
{
    std::string m_runner;
    milliseconds m_remaining{0};
    std::size_t m_body_bytes = 0;
    std::optional<std::uint32_t> m_urgency;
    /// Replaces the caller's last event id; empty: the caller's is kept.
    std::optional<std::uint64_t> m_last_event_id = {};
    /// Callers authenticate with keys: the caller's key and workspace header
    /// are removed.
    bool m_strips_credentials = false;
    /// Empty: no workspace.
    std::string m_workspace = {};
};

/// The head that is sent to a runner: the caller's method, target and headers,
/// without hop-by-hop headers and those that only the system sets.
[[nodiscard]] std::string upstream_head(const caller_request& request,
                                        const attempt_head& attempt,
                                        const wire_names& names);

/// The headers that apply to one connection only. Prepared once for a head:
/// comparing each header with each name that it lists would take a time that
/// grows with the square of its length.
class hop_by_hop_names
{
public:
    /// \param connection value of the Connection header, which names more of
    /// them; it must outlive this
    explicit hop_by_hop_names(std::string_view connection);

    /// Whether the header \p name is one of them, in any case.
    [[nodiscard]] bool contains(std::string_view name) const;

private:
    /// In order, case ignored.
    std::vector<std::string_view> m_names;
};

} // namespace pepperturn
