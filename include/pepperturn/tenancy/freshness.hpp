// SPDX-License-Identifier: BSL-1.0
/// \file
/// How long a VM may act on its copy of the configuration and of the views.
///
/// Load pattern: VMs that are partitioned, frozen or slow keep serving callers
/// while keys are revoked and replica sets change elsewhere. Having received a
/// configuration is not enough: what matters is when it was last confirmed to
/// be the newest.
///
/// Each instant here is a lower bound: at that time, by this VM's clock, the
/// store held nothing newer. It is only derived from
///  - a linearizable response of the store, at the time its request was *sent*
///    (the response may have been delayed, but cannot precede the request);
///  - a reply of another VM, at the time the request was sent minus the age in
///    the reply. The other VM computed that age when it replied, which is after
///    the request was sent.
///
/// Both can only overestimate the age, through any number of VMs and also
/// around a cycle. Unsolicited notifications are not used: one that a partition
/// delayed would appear fresh on arrival.
///
/// A VM that other VMs have not confirmed the configuration to in time asks the
/// store itself: the VMs that usually tell it may all be gone, frozen, cut off
/// or behind, and none of these is told apart from "nothing has changed" by
/// what arrives.
#pragma once

#include "pepperturn/base/time.hpp"

#include <optional>

#include <algorithm>
#include <cstdint>
#include <string>

namespace pepperturn {

struct freshness_bound
{
    /// The local configuration was the newest at this time; the clock's epoch:
    /// never confirmed.
    instant m_config_confirmed_at{};
    /// The local views of all replica sets were the newest at this time.
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

/// Freshness that one VM reports to another, as ages.
struct freshness_message
{
    /// Revision of the configuration that was confirmed.
    std::uint64_t m_config_revision = 0;
    /// In milliseconds; the maximum value: never confirmed.
    std::uint32_t m_config_age_ms = UINT32_MAX;
    std::uint32_t m_views_age_ms = UINT32_MAX;

    friend bool operator==(const freshness_message&,
                           const freshness_message&) = default;
};

/// Converts \p bound to ages at \p now.
[[nodiscard]] freshness_message report_freshness(const freshness_bound& bound,
                                                 std::uint64_t config_revision,
                                                 instant now);

/// Derives a bound from the reply of another VM.
/// \param sent_at when the request was sent
/// \param known_revision of the configuration in force here
/// \param receives_views whether this VM receives all view updates that the
/// other VM has, before its reply
[[nodiscard]] freshness_bound
derive_freshness(const freshness_message& reported, instant sent_at,
                 std::uint64_t known_revision, bool receives_views);

/// Maximum ages of the configuration and views that a VM may act on.
struct staleness_limits
{
    /// Time within which a revoked key is rejected everywhere.
    milliseconds m_max_revoke_delay{5000};
    /// Time within which a change of the configuration is in force on VMs that
    /// can reach the store.
    milliseconds m_max_apply_delay{3000};

    friend bool operator==(const staleness_limits&,
                           const staleness_limits&) = default;
};

/// Maximum age at which a request with a key may be sent and a limiter may
/// grant. A tenth of the revocation delay is left for the way to the runner.
[[nodiscard]] milliseconds max_use_age(const staleness_limits& limits);

/// How much longer a VM may act on what was confirmed at \p at; empty: no
/// longer.
[[nodiscard]] std::optional<milliseconds>
remaining_use_time(const staleness_limits& limits, instant at, instant now);

/// Age above which another VM is asked instead: the one that was has lost the
/// store. More than ages are while VMs confirm each other's configuration.
[[nodiscard]] milliseconds max_source_age(const staleness_limits& limits);

/// Age of what other VMs have confirmed above which a VM asks the platform's
/// store itself for the configuration: the delay for changes, less the time in
/// which the store is asked and answers.
[[nodiscard]] milliseconds max_relayed_age(const staleness_limits& limits);

/// Time without word of the platform's store through other VMs above which a VM
/// follows the store itself, so that runners that drain are left alone as soon
/// as a change of the configuration applies.
[[nodiscard]] milliseconds max_unheard_time(const staleness_limits& limits);

/// Maximum age at which an unknown key or route may be rejected, rather than
/// answered with "retry later": the delay for changes, less the time in which
/// updates arrive.
[[nodiscard]] milliseconds max_denial_age(const staleness_limits& limits);

/// Time since \p at; the maximum value if it was never confirmed.
[[nodiscard]] milliseconds age_of(instant at, instant now);

/// The age in milliseconds for a log line; "never" if it is the maximum value.
[[nodiscard]] std::string age_text(milliseconds age);

} // namespace pepperturn
