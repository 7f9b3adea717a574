// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/request_head.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace pepperturn {

namespace {

using boost::algorithm::iequals;

constexpr std::array<std::string_view, 9> known_hop_by_hop{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization"};

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

bool is_less(std::string_view left, std::string_view right)
{
    return boost::beast::iless{}({left.data(), left.size()},
                                 {right.data(), right.size()});
}

bool is_set_by_system(std::string_view name, const wire_names& names)
{
    if (iequals(name, names.m_deadline) ||
        iequals(name, names.m_expected_runner) ||
        iequals(name, names.m_urgency) || iequals(name, "content-length") ||
        iequals(name, "expect"))
        return true;
    return std::any_of(
        names.m_reserved.begin(), names.m_reserved.end(),
        [&](const std::string& row) { return iequals(name, row); });
}

/// Headers in which a caller identifies itself.
bool identifies_caller(std::string_view name, const wire_names& names)
{
    return iequals(name, names.m_authorization) ||
           iequals(name, names.m_workspace);
}

/// Headers that are forwarded even if the Connection header lists them.
bool is_end_to_end(std::string_view name, const wire_names& names)
{
    return iequals(name, "host") || iequals(name, names.m_request_id) ||
           iequals(name, names.m_parent_turn) ||
           iequals(name, names.m_token_budget) ||
           iequals(name, names.m_program) || iequals(name, names.m_token_count);
}

void add_line(std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

/// Parses `PROMPT,MAX`; both must fit 32 bits.
void read_token_count(request_fields& out, std::string_view count)
{
    const auto comma = std::min(count.find(','), count.size());
    const auto prompt = parse_number(trimmed(count.substr(0, comma)));
    const auto max = comma == count.size()
                         ? std::nullopt
                         : parse_number(trimmed(count.substr(comma + 1)));
    constexpr std::uint64_t limit = UINT32_MAX;
    if (!prompt || !max || *prompt > limit || *max > limit)
    {
        out.m_error = "the token count is no pair of numbers";
        return;
    }
    out.m_prompt_tokens = static_cast<std::uint32_t>(*prompt);
    out.m_max_tokens = static_cast<std::uint32_t>(*max);
}

/// Parses a comma-separated list of `ID:TOKENS`. Parts only improve the choice
/// of a runner, so a malformed list is ignored.
std::vector<prompt_part> read_prompt_parts(std::string_view text)
{
    std::vector<prompt_part> out;
    while (!text.empty())
    {
        const auto end = std::min(text.find(','), text.size());
        const auto part = trimmed(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto colon = part.rfind(':');
        if (colon == std::string_view::npos)
            return {};
        const auto tokens = parse_number(part.substr(colon + 1));
        if (!tokens || *tokens > UINT32_MAX)
            return {};
        out.push_back({hash64(part.substr(0, colon)),
                       static_cast<std::uint32_t>(*tokens)});
    }
    return out;
}

} // namespace

request_fields decode_fields(const caller_request& request,
                             const wire_names& names)
{
    const auto text = [&](const std::string& name) {
        return std::string(trimmed(view_of(request[name])));
    };
    request_fields out;
    out.m_id = text(names.m_request_id);
    out.m_host = std::string(trimmed(view_of(request[http::field::host])));
    if (const auto ms = parse_number(text(names.m_deadline)))
        out.m_deadline = milliseconds(*ms);
    out.m_program = text(names.m_program);
    out.m_session = text(names.m_session);
    if (const auto ms = parse_number(text(names.m_program_deadline)))
        out.m_program_remaining = milliseconds(*ms);
    if (request.count(names.m_token_count) > 0)
        read_token_count(out, text(names.m_token_count));
    if (request.count(names.m_token_budget) > 0)
    {
        out.m_token_budget = parse_number(text(names.m_token_budget));
        if (!out.m_token_budget)
            out.m_error = "the token budget is no number";
        else if (request.count(names.m_token_count) == 0)
            out.m_error = "a token budget without a token count";
    }
    // A malformed hint is ignored.
    const auto expected = parse_number(text(names.m_length_hint));
    if (expected && *expected <= UINT32_MAX)
        out.m_expected_tokens = static_cast<std::uint32_t>(*expected);
    out.m_prompt_parts = read_prompt_parts(text(names.m_prompt_parts));
    out.m_parent_turn = text(names.m_parent_turn);
    if (request.count(names.m_last_event) > 0)
    {
        out.m_last_event_id = parse_number(text(names.m_last_event));
        if (!out.m_last_event_id)
            out.m_error = "the last event's id is no number";
    }
    return out;
}

credentials decode_credentials(const caller_request& request,
                               const wire_names& names)
{
    std::vector<std::string_view> values;
    const auto [begin, end] = request.equal_range(names.m_authorization);
    for (auto row = begin; row != end; ++row)
        values.push_back(trimmed(view_of(row->value())));
    return read_credentials(values, names.m_key_scheme);
}

hop_by_hop_names::hop_by_hop_names(std::string_view connection)
    : m_names(known_hop_by_hop.begin(), known_hop_by_hop.end())
{
    const http::token_list listed(
        boost::beast::string_view(connection.data(), connection.size()));
    for (const auto& token : listed)
        m_names.push_back(view_of(token));
    std::sort(m_names.begin(), m_names.end(), is_less);
}

bool hop_by_hop_names::contains(std::string_view name) const
{
    return std::binary_search(m_names.begin(), m_names.end(), name, is_less);
}

std::string upstream_head(const caller_request& request,
                          const attempt_head& attempt, const wire_names& names)
{
    const hop_by_hop_names hop_by_hop(
        view_of(request[http::field::connection]));
    std::string out;
    constexpr std::size_t typical_bytes = 1024;
    out.reserve(typical_bytes);
    out += view_of(request.method_string());
    out += ' ';
    out += view_of(request.target());
    out += " HTTP/1.1\r\n";
    for (const auto& row : request)
    {
        const auto name = view_of(row.name_string());
        if (is_set_by_system(name, names) ||
            (attempt.m_strips_credentials && identifies_caller(name, names)) ||
            (attempt.m_last_event_id && iequals(name, names.m_last_event)) ||
            (hop_by_hop.contains(name) && !is_end_to_end(name, names)))
            continue;
        add_line(out, name, view_of(row.value()));
    }
    if (attempt.m_body_bytes > 0 || request.method() != http::verb::get)
        add_line(out, "Content-Length", std::to_string(attempt.m_body_bytes));
    add_line(out, names.m_deadline,
             std::to_string(attempt.m_remaining.count()));
    add_line(out, names.m_expected_runner, attempt.m_runner);
    if (attempt.m_urgency)
        add_line(out, names.m_urgency, std::to_string(*attempt.m_urgency));
    if (attempt.m_last_event_id)
        add_line(out, names.m_last_event,
                 std::to_string(*attempt.m_last_event_id));
    if (!attempt.m_workspace.empty())
        add_line(out, names.m_workspace, attempt.m_workspace);
    out += "\r\n";
    return out;
}

} // namespace pepperturn
