// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/fingerprint.hpp"

#include "pepperturn/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace pepperturn {

namespace {

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::uint64_t fingerprint_of(const caller_request& request,
                             const request_fields& fields,
                             std::string_view workspace,
                             std::string_view caller_address)
{
    const bool anonymous = fields.m_program.empty() && request.body().empty();
    // Each text is hashed by itself, so that two neighbours never look like
    // one longer text.
    const std::array<std::string_view, 9> parts{
        view_of(request.method_string()),
        view_of(request.target()),
        fields.m_host,
        workspace,
        fields.m_program,
        fields.m_session,
        fields.m_parent_turn,
        request.body(),
        anonymous ? caller_address : std::string_view{}};
    std::uint64_t out = 0;
    for (const auto part : parts)
        out = hash64(part, out);
    for (const auto& part : fields.m_prompt_parts)
        out = hash_combine(out, part.m_id);
    return std::max<std::uint64_t>(out, 1);
}

std::string fingerprint_text(std::uint64_t fingerprint)
{
    std::array<char, 17> out{};
    std::snprintf(out.data(), out.size(), "%016llx",
                  static_cast<unsigned long long>(fingerprint));
    return out.data();
}

} // namespace pepperturn
