// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/http/request_framing.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <utility>

namespace pepperturn {

namespace {

using boost::algorithm::iequals;

/// Framing headers found in one pass over the header lines.
struct framing
{
    unsigned m_lengths = 0;
    unsigned m_codings = 0;
    unsigned m_hosts = 0;
    bool m_only_chunked = true;
};

const char* check_line(framing& seen, std::string_view line)
{
    if (line.front() == ' ' || line.front() == '\t')
        return "folded header line";
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return "header line without a name";
    const auto name = line.substr(0, colon);
    if (name.back() == ' ' || name.back() == '\t')
        return "blank before a colon";
    const auto value = trimmed(line.substr(colon + 1));
    if (iequals(name, "content-length"))
    {
        ++seen.m_lengths;
        if (!parse_number(value))
            return "bad content length";
    }
    else if (iequals(name, "transfer-encoding"))
    {
        ++seen.m_codings;
        seen.m_only_chunked = iequals(value, "chunked");
    }
    else if (iequals(name, "host"))
        ++seen.m_hosts;
    return nullptr;
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

const char* find_ambiguity(std::string_view head)
{
    framing seen;
    bool first = true;
    bool old_version = false;
    while (!head.empty())
    {
        const auto end = head.find('\n');
        if (end == std::string_view::npos)
            return "unfinished line";
        if (end == 0 || head[end - 1] != '\r')
            return "bare line feed";
        const auto line = head.substr(0, end - 1);
        head.remove_prefix(end + 1);
        if (line.find('\r') != std::string_view::npos ||
            line.find('\0') != std::string_view::npos)
            return "control character";
        if (line.empty())
            break;
        if (std::exchange(first, false))
        {
            old_version = line.ends_with("HTTP/1.0");
            continue;
        }
        if (const auto* fault = check_line(seen, line))
            return fault;
    }
    if (seen.m_lengths > 1)
        return "two content lengths";
    if (seen.m_codings > 1 || !seen.m_only_chunked)
        return "transfer coding other than chunked";
    if (seen.m_codings > 0 && (seen.m_lengths > 0 || old_version))
        return "both a length and chunks";
    if (seen.m_hosts != 1)
        return "not exactly one host";
    return nullptr;
}

} // namespace pepperturn
