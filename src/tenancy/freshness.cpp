// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/freshness.hpp"

namespace pepperturn {

namespace {

constexpr std::uint32_t never = UINT32_MAX;
/// Word of the store is up to 1.5 s old: storage VMs ask it every 0.8 s, poll
/// each other every 0.25 s and send heartbeats every 0.5 s.
constexpr milliseconds min_unheard_time{1700};
/// Runners drain within seconds, however late configurations may apply.
constexpr milliseconds max_unheard_limit{3200};

std::uint32_t to_age_ms(instant at, instant now)
{
    if (at == instant{})
        return never;
    // Rounded up: an age must never be reported too small.
    const auto age = elapsed(at, now).count() + 1;
    return age >= never ? never - 1 : static_cast<std::uint32_t>(age);
}

instant from_age_ms(std::uint32_t age_ms, instant sent_at)
{
    if (age_ms == never)
        return instant{};
    return std::max(instant{}, sent_at - milliseconds(age_ms));
}

} // namespace

freshness_message report_freshness(const freshness_bound& bound,
                                   std::uint64_t config_revision, instant now)
{
    return {config_revision, to_age_ms(bound.m_config_confirmed_at, now),
            to_age_ms(bound.m_views_confirmed_at, now)};
}

freshness_bound derive_freshness(const freshness_message& reported,
                                 instant sent_at, std::uint64_t known_revision,
                                 bool receives_views)
{
    freshness_bound out;
    // A newer revision than the local one shows that this VM is behind.
    if (reported.m_config_revision <= known_revision)
        out.m_config_confirmed_at =
            from_age_ms(reported.m_config_age_ms, sent_at);
    if (receives_views)
        out.m_views_confirmed_at =
            from_age_ms(reported.m_views_age_ms, sent_at);
    return out;
}

milliseconds max_use_age(const staleness_limits& limits)
{
    constexpr int tenths = 9;
    return limits.m_max_revoke_delay * tenths / 10;
}

std::optional<milliseconds> remaining_use_time(const staleness_limits& limits,
                                               instant at, instant now)
{
    const auto age = age_of(at, now);
    const auto max_age = max_use_age(limits);
    if (age > max_age)
        return std::nullopt;
    return max_age - age;
}

milliseconds max_source_age(const staleness_limits& limits)
{
    constexpr int tenths = 6;
    return limits.m_max_apply_delay * tenths / 10;
}

milliseconds max_relayed_age(const staleness_limits& limits)
{
    constexpr int tenths = 7;
    return limits.m_max_apply_delay * tenths / 10;
}

milliseconds max_unheard_time(const staleness_limits& limits)
{
    constexpr int percent = 85;
    return std::clamp(limits.m_max_apply_delay * percent / 100,
                      min_unheard_time, max_unheard_limit);
}

milliseconds max_denial_age(const staleness_limits& limits)
{
    constexpr int tenths = 8;
    return limits.m_max_apply_delay * tenths / 10;
}

milliseconds age_of(instant at, instant now)
{
    return at == instant{} ? milliseconds::max() : elapsed(at, now);
}

std::string age_text(milliseconds age)
{
    return age == milliseconds::max() ? "never" : std::to_string(age.count());
}

} // namespace pepperturn
