// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/freshness.hpp"

namespace pepperturn {

namespace {

constexpr std::uint32_t never = UINT32_MAX;

std::uint32_t told_age(instant at, instant now)
{
    if (at == instant{})
        return never;
    // Rounded up: an age must not be told too small.
    const auto age = elapsed(at, now).count() + 1;
    return age >= never ? never - 1 : static_cast<std::uint32_t>(age);
}

instant told_at(std::uint32_t age_ms, instant asked)
{
    if (age_ms == never)
        return instant{};
    return std::max(instant{}, asked - milliseconds(age_ms));
}

} // namespace

freshness_message report_freshness(const freshness_bound& bound,
                                   std::uint64_t config_revision, instant now)
{
    return {config_revision, told_age(bound.m_config_confirmed_at, now),
            told_age(bound.m_views_confirmed_at, now)};
}

freshness_bound derive_freshness(const freshness_message& told, instant asked,
                                 std::uint64_t known_revision, bool hears_views)
{
    freshness_bound out;
    // A newer one than is in force here says that this VM is behind.
    if (told.m_config_revision <= known_revision)
        out.m_config_confirmed_at = told_at(told.m_config_age_ms, asked);
    if (hears_views)
        out.m_views_confirmed_at = told_at(told.m_views_age_ms, asked);
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
    const auto longest = max_use_age(limits);
    if (age > longest)
        return std::nullopt;
    return longest - age;
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

} // namespace pepperturn
