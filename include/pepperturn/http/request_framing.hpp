// SPDX-License-Identifier: BSL-1.0
/// \file
/// Checks how the head of a request frames its body, and reads numbers and
/// values of header fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace pepperturn {

/// Rejects heads that two parsers could interpret differently, as request
/// smuggling exploits: folded lines, bare line feeds, two lengths, a length and
/// chunks, codings other than chunked. Null if the head is valid, else the
/// error. \param head up to and including the empty line
[[nodiscard]] const char* find_ambiguity(std::string_view head);

/// \p text without blanks at its ends.
[[nodiscard]] std::string_view trimmed(std::string_view text);

/// \returns empty unless all of \p text is a decimal number of 64 bits
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace pepperturn
