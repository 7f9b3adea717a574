// SPDX-License-Identifier: BSL-1.0
/// \file
/// The operators' configuration: an INI text and a policy, kept together as
/// one immutable revision in the store.
#pragma once

#include "pepperturn/core/deployment.hpp"

#include <optional>

namespace pepperturn {

/// What one revision in the store holds.
struct config_revision
{
    std::uint64_t m_revision = 0;
    std::string m_config;
    std::string m_policy;
    /// Who put it, for `config history`.
    std::string m_author;

    friend bool operator==(const config_revision&,
                           const config_revision&) = default;
};

/// Checks the INI text in full; every fault is a line in \p errors.
[[nodiscard]] std::optional<deployment>
parse_deployment(const config_revision& revision,
                 std::vector<std::string>& errors);

[[nodiscard]] std::string encode_revision(const config_revision& value);
[[nodiscard]] std::optional<config_revision>
decode_revision(const std::string& text, std::string& reason);

} // namespace pepperturn
