// SPDX-License-Identifier: BSL-1.0
/// \file
/// Heads of responses, byte by byte: broken ones, which say nothing, and rare
/// ones that are sound.
#pragma once

#include <string>
#include <vector>

namespace pepperturn::test {

/// A response whose head or framing is broken.
struct broken_head
{
    std::string m_name;
    /// ID stands for the request's id.
    std::string m_bytes;
    /// The runner closes its connection behind the bytes.
    bool m_closes = false;
};

/// Body of all of them.
inline constexpr const char* broken_body = "garbage";

/// \param more_lines of the head, whole
[[nodiscard]] std::vector<broken_head>
broken_heads(const std::string& more_lines = {});

/// Responses in chunks whose heads are sound and whose trailers are broken.
[[nodiscard]] std::vector<broken_head> broken_trailers();

/// A response that is rare and sound.
struct sound_head
{
    std::string m_name;
    std::string m_bytes;
    bool m_closes = false;
    unsigned m_status = 200;
    /// Lines of the head that are passed on, besides those of every response.
    std::string m_lines = {};
};

/// Body of all of them: a whole event, so that it may be a stream's, too.
inline constexpr const char* sound_body = "data: whole\n\n";

[[nodiscard]] std::vector<sound_head> sound_heads();

} // namespace pepperturn::test
