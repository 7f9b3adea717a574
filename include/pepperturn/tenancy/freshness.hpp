// SPDX-License-Identifier: BSL-1.0
/// \file
/// How long a VM may act on what it knows of the platform's store.
///
/// Load pattern: VMs that are cut off, frozen or slow go on serving callers
/// while keys are taken away and replica sets change elsewhere. Knowing a
/// configuration is not enough: what counts is since when nobody has told
/// that it is still the newest.
///
/// An instant here is a lower bound: at that time, by the clock of this VM,
/// nothing newer stood in the store. It is only ever taken from
///  - an answer of the store that may not be stale, at the time its question
///    was *sent* (the answer may have been held up, the question cannot have
///    been answered before it was asked);
///  - an answer of another VM, at the time its question was sent less the age
///    that the answer names: the other VM counted that age when it answered,
///    so later than the question was sent.
/// Both err on the old side only, through any number of VMs, and also in a
/// circle. Notices without a question are not used: one that a cut held back
/// would seem fresh when it comes.
#pragma once

#include "pepperturn/base/time.hpp"

#include <optional>

#include <algorithm>
#include <cstdint>

namespace pepperturn {

struct freshness_bound
{
    /// The configuration known here was the newest at this time; the epoch of
    /// the clock: never heard.
    instant m_config_confirmed_at{};
    /// The views of all replica sets known here were the newest at this time.
    instant m_views_confirmed_at{};

    friend bool operator==(const freshness_bound&,
                           const freshness_bound&) = default;
};

[[nodiscard]] inline freshness_bound newest(const freshness_bound& left,
                                            const freshness_bound& right)
{
    return {std::max(left.m_config_confirmed_at, right.m_config_confirmed_at),
            std::max(left.m_views_confirmed_at, right.m_views_confirmed_at)};
}

/// What one VM tells another of its freshness.
struct freshness_message
{
    /// Of the configuration that was the newest.
    std::uint64_t m_config_revision = 0;
    /// Milliseconds; the largest number: never heard.
    std::uint32_t m_config_age_ms = UINT32_MAX;
    std::uint32_t m_views_age_ms = UINT32_MAX;

    friend bool operator==(const freshness_message&,
                           const freshness_message&) = default;
};

/// \p bound as it is told now.
[[nodiscard]] freshness_message report_freshness(const freshness_bound& bound,
                                                 std::uint64_t config_revision,
                                                 instant now);

/// What an answer says here.
/// \param asked when its question was sent
/// \param known_revision of the configuration in force here
/// \param hears_views all that the other VM knows of views comes here first
[[nodiscard]] freshness_bound derive_freshness(const freshness_message& told,
                                               instant asked,
                                               std::uint64_t known_revision,
                                               bool hears_views);

/// Up to which age of what it knows a VM acts.
struct staleness_limits
{
    /// A key that was taken away may be used for this long everywhere.
    milliseconds m_max_revoke_delay{5000};
    /// A new key is to be good after this long at VMs that hear the store.
    milliseconds m_max_apply_delay{3000};

    friend bool operator==(const staleness_limits&,
                           const staleness_limits&) = default;
};

/// A keyed request may still be sent, and a limiter may grant: a tenth of the
/// bound is left for the way to the runner.
[[nodiscard]] milliseconds max_use_age(const staleness_limits& limits);

/// For how much longer what was known at \p at may be acted upon; empty: it may
/// not.
[[nodiscard]] std::optional<milliseconds>
remaining_use_time(const staleness_limits& limits, instant at, instant now);

/// Who is not known may be told so, rather than to come back: the bound for
/// new keys, less the time in which news come here.
[[nodiscard]] milliseconds max_denial_age(const staleness_limits& limits);

/// Time since \p at; the largest if it was never heard.
[[nodiscard]] milliseconds age_of(instant at, instant now);

} // namespace pepperturn
