// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/types.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

namespace pepperturn {

const char* to_string(outcome value)
{
    switch (value)
    {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::uint64_t digest_of(const call_request& request)
{
    std::uint64_t digest = hash64(request.m_upstream);
    const auto mix = [&digest](std::string_view part) {
        digest = hash_combine(digest, hash64(part));
    };
    mix(request.m_method);
    mix(request.m_path);
    mix(request.m_body);
    for (const auto& entry : request.m_messages)
    {
        mix(entry.m_role);
        mix(entry.m_content);
    }
    return hash_combine(digest, request.m_max_tokens);
}

call_report report_for(const grant& permit)
{
    call_report out;
    out.m_call = permit.m_call;
    out.m_attempt = permit.m_attempt;
    out.m_epoch = permit.m_epoch;
    out.m_runner = permit.m_runner;
    return out;
}

program_key one_off_program(const std::string& workspace, const call_id& call)
{
    // Names of programs given by callers cannot start with this character.
    const auto name = "~" + call;
    return {workspace, name, name};
}

bool is_one_off(const program_key& key)
{
    return key.m_program.starts_with('~');
}

std::uint32_t partition_of(const program_key& key, std::uint32_t partitions)
{
    const auto digest =
        hash_combine(hash64(key.m_workspace), hash64(key.m_root));
    return static_cast<std::uint32_t>(digest % partitions);
}

std::string cache_key_of(const session_key& key)
{
    const auto& program = key.m_program;
    return program.m_workspace + "/" + program.m_root + "/" +
           program.m_program + "/" + key.m_session;
}

std::string cache_prefix_of(const program_key& key)
{
    const auto root = key.m_workspace + "/" + key.m_root + "/";
    return key.m_program == key.m_root ? root : root + key.m_program + "/";
}

std::optional<session_key> parse_cache_key(const std::string& cache_key)
{
    std::array<std::string, 4> parts;
    std::size_t begin = 0;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        const auto end = cache_key.find('/', begin);
        const bool last = i + 1 == parts.size();
        if (last != (end == std::string::npos))
            return std::nullopt;
        parts.at(i) = cache_key.substr(begin, end - begin);
        begin = end + 1;
    }
    return session_key{{parts[0], parts[1], parts[2]}, parts[3]};
}

bool is_valid_name(std::string_view name)
{
    constexpr std::size_t longest = 128;
    if (name.empty() || name.size() > longest)
        return false;
    return std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '~' ||
               c == '-';
    });
}

call_id make_call_id(const std::string& vm, std::uint64_t incarnation,
                     std::uint64_t number)
{
    return vm + "." + std::to_string(incarnation) + "." +
           std::to_string(number);
}

std::string entry_of(const call_id& call)
{
    const auto number = call.rfind('.');
    if (number == std::string::npos || number == 0)
        return {};
    const auto incarnation = call.rfind('.', number - 1);
    return incarnation == std::string::npos ? std::string{}
                                            : call.substr(0, incarnation);
}

std::uint64_t incarnation_of(const call_id& call)
{
    const auto vm = entry_of(call);
    if (vm.empty())
        return 0;
    const char* first = call.data() + vm.size() + 1;
    std::uint64_t value = 0;
    std::from_chars(first, call.data() + call.size(), value);
    return value;
}

std::uint32_t token_bound(std::size_t bytes)
{
    return static_cast<std::uint32_t>(std::min<std::size_t>(
        bytes, std::numeric_limits<std::uint32_t>::max() / 4));
}

} // namespace pepperturn
