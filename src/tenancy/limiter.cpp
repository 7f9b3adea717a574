// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/limiter.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Above this number of rows idle ones are evicted: more workspaces than the
/// largest fleet has.
constexpr std::size_t max_rows = 4096;
/// A row without requests for this long has an empty window and no active
/// program.
constexpr milliseconds row_idle_timeout{60000};
/// A program without a call for this long is treated as ended; pauses between
/// calls are shorter, except after a refused call.
constexpr milliseconds program_idle_timeout{2000};
constexpr milliseconds sweep_interval{500};
/// The statistics of ended programs are halved when they reach this many calls.
constexpr double statistics_decay_calls = 1000;
/// Duration of a program's last call, in seconds: added to the time between the
/// starts of its first and last calls.
constexpr double last_call_s = 0.3;
/// Weight of the prior estimate, in programs: of the defaults in the estimate
/// over all workspaces, and of that estimate in the one for a workspace.
constexpr double prior_weight_programs = 3;
/// For this long after a call of an active program was refused, no program is
/// expected to end soon: too many have been admitted, whatever their estimated
/// sizes were.
constexpr milliseconds refusal_cooldown{6000};
/// Programs beyond this number are not tracked; a share never holds as many.
constexpr std::size_t max_active_programs = 20000;
/// Minimum calls still expected of an active program, as a fraction of the
/// estimated calls, even if it has already made more than these.
constexpr double min_remaining_fraction = 0.25;
/// Minimum interval between forecasts: with thousands of active programs each
/// first call would otherwise iterate over all of them.
constexpr milliseconds forecast_interval{50};
/// A reserved slot that is not claimed is freed after this many slots: it
/// allows for the jitter of the retry times that callers get, and for the way.
constexpr std::int64_t reservation_hold_slots = 10;
/// Maximum reserved slots; further callers get a retry time without a
/// reservation.
constexpr std::size_t max_reserved = 512;
/// Minimum retry time of a program that was not admitted: calls of active
/// programs end meanwhile, and its client has few attempts.
constexpr milliseconds min_start_retry{300};
/// Programs with a longer retry time keep no place in the order: clients retry
/// no later than after a third of the time that they have.
constexpr milliseconds max_deferral{1000};
/// A program that has not retried this long after its time is not expected any
/// more.
constexpr milliseconds deferral_timeout{500};
/// Bounds of the retry time of refused callers.
constexpr milliseconds min_retry{100};
constexpr milliseconds max_retry{5000};
constexpr double ms_per_s = 1000;

/// Bits of a packed grant that hold the wait.
constexpr unsigned wait_bits = 16;
constexpr std::uint32_t wait_mask = (1U << wait_bits) - 1;

double horizon_s(std::size_t index)
{
    return to_seconds(limit_span) * static_cast<double>(index + 1) /
           static_cast<double>(forecast_horizons);
}

/// Applies the newest limit that any VM has sent, immediately, and this VM's
/// share.
void apply_limit(limiter_row& row, const quota_request& request, double share,
                 instant since, instant now, const limiter_settings& settings)
{
    const bool is_first = row.m_share == 0;
    advance_window(row.m_window, slot_at(now));
    if (is_first || request.m_config_revision >= row.m_config_revision)
    {
        row.m_config_revision = request.m_config_revision;
        row.m_limit = request.m_limit;
    }
    if (share < row.m_share)
    {
        scale_window(row.m_window, share / row.m_share);
        row.m_reserved.clear();
        row.m_counted_since = now;
    }
    row.m_share = share;
    const double max_grants = max_in_window(row.m_limit, share, settings);
    // All that the window allows beyond the plain rate may be granted at one
    // instant, so that after a restart the plain rate is available again at
    // once.
    const double at_rate =
        share * row.m_limit.m_rate_per_s * to_seconds(limit_span);
    set_window_bound(row.m_window, max_grants,
                     std::max(0.0, max_grants - at_rate));
    if (is_first || since > row.m_granting_since)
        assume_max_granted(row.m_window, slot_at(since));
    row.m_granting_since =
        is_first ? since : std::max(row.m_granting_since, since);
    row.m_counted_since = std::max(row.m_counted_since, row.m_granting_since);
    row.m_last_request_at = now;
}

std::uint32_t to_retry_ms(milliseconds wait)
{
    return static_cast<std::uint32_t>(
        std::clamp(wait, min_retry, max_retry).count());
}

void add_to_statistics(program_statistics& statistics,
                       const active_program& program)
{
    statistics.m_programs += 1;
    statistics.m_calls += program.m_calls;
    statistics.m_seconds +=
        to_seconds(program.m_last_call_at - program.m_first_call_at) +
        last_call_s;
    if (statistics.m_calls < statistics_decay_calls)
        return;
    statistics.m_programs /= 2;
    statistics.m_calls /= 2;
    statistics.m_seconds /= 2;
}

/// Removes ended programs and adds them to the statistics.
void remove_ended_programs(limiter_row& row, instant now,
                           program_statistics& all)
{
    if (now - row.m_last_sweep_at < sweep_interval)
        return;
    row.m_last_sweep_at = now;
    std::erase_if(row.m_programs, [&](const auto& entry) {
        const auto& program = entry.second;
        if (now - program.m_last_call_at < program_idle_timeout)
            return false;
        if (!program.m_had_refusal)
        {
            add_to_statistics(row.m_statistics, program);
            add_to_statistics(all, program);
        }
        return true;
    });
}

void record_call(limiter_row& row, std::uint64_t program, instant now)
{
    if (program == 0 || row.m_programs.size() >= max_active_programs)
        return;
    auto& seen = row.m_programs[program];
    if (seen.m_calls++ == 0)
        seen.m_first_call_at = now;
    seen.m_last_call_at = now;
}

void record_refusal(limiter_row& row, std::uint64_t program, instant now)
{
    row.m_last_refusal_at = now;
    const auto found = row.m_programs.find(program);
    if (found != row.m_programs.end())
        found->second.m_had_refusal = true;
}

/// Returns the expected calls of a program until each horizon.
call_forecast expected_calls(const program_estimate& estimate, double remaining)
{
    call_forecast out{};
    for (std::size_t i = 0; i < forecast_horizons; ++i)
        out.at(i) =
            std::min(remaining, estimate.m_call_rate_per_s * horizon_s(i));
    return out;
}

void add(call_forecast& sum, const call_forecast& more, double weight)
{
    for (std::size_t i = 0; i < forecast_horizons; ++i)
        sum.at(i) += weight * more.at(i);
}

void update_forecast(limiter_row& row, const program_estimate& estimate,
                     instant now)
{
    if (now - row.m_forecast_at < forecast_interval)
        return;
    row.m_forecast_at = now;
    row.m_forecast = {};
    const bool recent_refusal = row.m_last_refusal_at != instant{} &&
                                now - row.m_last_refusal_at < refusal_cooldown;
    for (const auto& [id, program] : row.m_programs)
    {
        const double remaining =
            recent_refusal
                ? estimate.m_call_rate_per_s * horizon_s(forecast_horizons - 1)
                : std::max(estimate.m_calls - program.m_calls,
                           estimate.m_calls * min_remaining_fraction);
        // The longer a program has been idle, the more likely it has ended.
        const double idle = to_seconds(now - program.m_last_call_at) /
                            to_seconds(program_idle_timeout);
        add(row.m_forecast, expected_calls(estimate, remaining),
            std::clamp(1 - idle, 0.0, 1.0));
    }
}

/// Returns the number of deferred programs that are ahead of \p program.
double count_deferred_ahead(const limiter_row& row, std::uint64_t program)
{
    const auto found = std::find_if(
        row.m_deferred.begin(), row.m_deferred.end(), [&](const auto& at) {
            return program != 0 && at.m_program == program;
        });
    return static_cast<double>(found - row.m_deferred.begin());
}

/// Returns whether the window can hold the expected calls of another program in
/// addition to those of active programs and of deferred ones ahead of it.
/// \param missing set to the number of calls that exceed the capacity
bool can_admit_program(limiter_row& row, const quota_request& request,
                       const limiter_settings& settings,
                       const program_statistics& all, instant now,
                       double& missing)
{
    std::erase_if(row.m_deferred, [&](const deferred_program& at) {
        return now - at.m_retry_at > deferral_timeout;
    });
    const auto estimate = estimate_program(row.m_statistics, all, settings);
    update_forecast(row, estimate, now);
    const double max_grants = settings.m_overcommit *
                              max_in_window(row.m_limit, row.m_share, settings);
    const auto own = expected_calls(estimate, estimate.m_calls);
    const double ahead = count_deferred_ahead(row, request.m_program);
    missing = 0;
    for (std::size_t i = 0; i < forecast_horizons; ++i)
    {
        const auto still_inside =
            slots_in_window -
            static_cast<std::int64_t>(horizon_s(i) / to_seconds(slot_length));
        const double used = count_recent_grants(row.m_window, still_inside);
        missing = std::max(missing, used + row.m_forecast.at(i) +
                                        (ahead + 1) * own.at(i) - max_grants);
    }
    // One program at a time is admitted, however small the limit is.
    if (missing > 0 && (!row.m_programs.empty() || ahead > 0))
        return false;
    add(row.m_forecast, own, 1);
    std::erase_if(row.m_deferred, [&](const deferred_program& at) {
        return at.m_program == request.m_program;
    });
    return true;
}

/// Refuses a program's first call with a retry time. If that is soon, programs
/// that arrive later are ordered after it.
quota_reply defer_program(limiter_row& row, const quota_request& request,
                          double missing, instant now,
                          const limiter_settings& settings)
{
    const double rate = max_in_window(row.m_limit, row.m_share, settings) /
                        to_seconds(limit_span);
    const double ms = std::min(missing / rate * ms_per_s,
                               static_cast<double>(max_retry.count()));
    const auto retry = std::max(
        min_start_retry, milliseconds(static_cast<milliseconds::rep>(ms)));
    const bool is_deferred = request.m_queue_timeout_ms > 0 &&
                             request.m_program != 0 && retry <= max_deferral &&
                             row.m_deferred.size() < max_reserved;
    if (is_deferred)
    {
        const auto index = static_cast<std::size_t>(
            count_deferred_ahead(row, request.m_program));
        if (index < row.m_deferred.size())
            row.m_deferred[index].m_retry_at = now + retry;
        else
            row.m_deferred.push_back({request.m_program, now + retry});
    }
    return {quota_outcome::over_limit, to_retry_ms(retry)};
}

/// Frees reserved slots that were not claimed in time.
void free_unclaimed_slots(limiter_row& row)
{
    std::erase_if(row.m_reserved, [&](const reserved_slot& reserved) {
        if (reserved.m_slot + reservation_hold_slots >=
            row.m_window.m_current_slot)
            return false;
        remove_grant(row.m_window, reserved.m_slot);
        return true;
    });
}

/// Frees the slot reserved for the request's program, if the request can wait
/// until then.
bool claim_reserved_slot(limiter_row& row, const quota_request& request)
{
    const auto latest = row.m_window.m_current_slot +
                        milliseconds(request.m_queue_timeout_ms) / slot_length;
    const auto found = std::find_if(
        row.m_reserved.begin(), row.m_reserved.end(), [&](const auto& at) {
            return at.m_program == request.m_program && at.m_slot <= latest;
        });
    if (request.m_program == 0 || found == row.m_reserved.end())
        return false;
    remove_grant(row.m_window, found->m_slot);
    row.m_reserved.erase(found);
    return true;
}

quota_reply grant(limiter_row& row, const quota_request& request,
                  std::int64_t slot, instant now)
{
    record_call(row, request.m_program, now);
    add_grant(row.m_window, slot);
    // Rounded up: not before its slot begins.
    const auto wait = slot > row.m_window.m_current_slot
                          ? elapsed(now, start_of_slot(slot)) + milliseconds(1)
                          : milliseconds(0);
    return {.m_outcome = quota_outcome::granted,
            .m_packed_grant = pack_grant(slot, wait)};
}

/// Refuses a call for which no slot is free within its queue timeout. Reports
/// when one is, and reserves it if the caller would have waited.
quota_reply refuse(limiter_row& row, const quota_request& request,
                   std::int64_t from, instant now)
{
    if (!request.m_begins_program)
        record_refusal(row, request.m_program, now);
    const auto last =
        row.m_window.m_current_slot + max_slots_ahead - reservation_hold_slots;
    const auto slot = find_free_slot(row.m_window, from, last);
    if (!slot)
        return {quota_outcome::over_limit, to_retry_ms(max_retry)};
    if (request.m_queue_timeout_ms > 0 && request.m_program != 0 &&
        row.m_reserved.size() < max_reserved)
    {
        add_grant(row.m_window, *slot);
        row.m_reserved.push_back({request.m_program, *slot});
    }
    return {quota_outcome::over_limit,
            to_retry_ms(elapsed(now, start_of_slot(*slot)))};
}

void record_outcome(workspace_counts& counts, const quota_request& request,
                    const quota_reply& reply)
{
    counts.increment(workspace_event::asked);
    if (reply.m_outcome == quota_outcome::granted)
    {
        counts.increment(workspace_event::served);
        if (wait_of_grant(reply.m_packed_grant) > milliseconds(0))
            counts.increment(workspace_event::waited);
        return;
    }
    counts.increment(request.m_begins_program
                         ? workspace_event::refused_first_call
                         : workspace_event::refused_call);
}

} // namespace

const char* to_string(quota_outcome outcome)
{
    switch (outcome)
    {
    case quota_outcome::granted:
        return "granted";
    case quota_outcome::over_limit:
        return "over_limit";
    case quota_outcome::not_owner:
        return "not_owner";
    }
    return "unknown";
}

std::size_t owner_count_for(const quota_request& request)
{
    return request.m_exact ? 1 : target_owner_count;
}

quota_request limit_queue_timeout(quota_request request,
                                  std::optional<milliseconds> max_timeout)
{
    const auto max_ms = max_timeout.value_or(milliseconds(0)).count();
    request.m_queue_timeout_ms =
        static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(
            max_ms, 0,
            static_cast<milliseconds::rep>(request.m_queue_timeout_ms)));
    return request;
}

std::uint32_t pack_grant(std::int64_t slot, milliseconds wait)
{
    const auto bounded =
        std::clamp<milliseconds::rep>(wait.count(), 0, wait_mask);
    return static_cast<std::uint32_t>(slot) << wait_bits |
           static_cast<std::uint32_t>(bounded);
}

milliseconds wait_of_grant(std::uint32_t packed)
{
    return milliseconds(packed & wait_mask);
}

std::int64_t slot_of_grant(std::uint32_t packed, std::int64_t now)
{
    const auto behind = static_cast<std::int16_t>(
        static_cast<std::uint16_t>(now) -
        static_cast<std::uint16_t>(packed >> wait_bits));
    return now - behind;
}

double max_in_window(const request_limit& limit, double share,
                     const limiter_settings& settings)
{
    const double allowed =
        limit.m_rate_per_s * to_seconds(limit_span) + limit.m_burst;
    return share * (allowed * (1 + settings.m_excess) + settings.m_slack);
}

program_estimate estimate_program(const program_statistics& own,
                                  const program_statistics& all,
                                  const limiter_settings& settings)
{
    const auto blend = [](const program_statistics& seen, double calls,
                          double seconds) {
        const double programs = seen.m_programs + prior_weight_programs;
        return program_statistics{
            1, (seen.m_calls + prior_weight_programs * calls) / programs,
            (seen.m_seconds + prior_weight_programs * seconds) / programs};
    };
    const auto overall =
        blend(all, settings.m_default_calls,
              settings.m_default_calls / settings.m_default_call_rate_per_s);
    const auto estimate = blend(own, overall.m_calls, overall.m_seconds);
    return {estimate.m_calls, estimate.m_calls / estimate.m_seconds};
}

quota_reply admit_request(limiter_row& row, const quota_request& request,
                          double share, instant since, instant now,
                          const limiter_settings& settings,
                          program_statistics& all)
{
    apply_limit(row, request, share, since, now, settings);
    remove_ended_programs(row, now, all);
    free_unclaimed_slots(row);
    const auto current = row.m_window.m_current_slot;
    double missing = 0;
    if (request.m_begins_program &&
        !can_admit_program(row, request, settings, all, now, missing))
        return defer_program(row, request, missing, now, settings);
    (void)claim_reserved_slot(row, request);
    const auto latest = std::min(
        current + milliseconds(request.m_queue_timeout_ms) / slot_length,
        current + max_slots_ahead);
    if (const auto slot = find_free_slot(row.m_window, current, latest))
        return grant(row, request, *slot, now);
    return refuse(row, request, latest + 1, now);
}

void return_grant(limiter_row& row, const quota_request& request, instant now)
{
    const auto found = row.m_programs.find(request.m_program);
    if (found != row.m_programs.end() && --found->second.m_calls == 0)
        row.m_programs.erase(found);
    advance_window(row.m_window, slot_at(now));
    const auto slot =
        slot_of_grant(request.m_packed_grant, row.m_window.m_current_slot);
    if (start_of_slot(slot) >= row.m_counted_since)
        remove_grant(row.m_window, slot);
}

quota_reply limiter::handle(const quota_request& request, double share,
                            instant since, instant now)
{
    quota_reply out;
    if (request.m_is_return)
    {
        const auto found = m_rows.find(request.m_workspace);
        if (found != m_rows.end())
            return_grant(found->second, request, now);
        return out;
    }
    if (share > 0)
    {
        if (m_rows.size() >= max_rows)
            evict_idle_rows(now);
        auto& row = m_rows[request.m_workspace];
        auto settings = m_settings;
        if (request.m_exact)
            settings.m_slack = settings.m_excess = 0;
        out = admit_request(row, request, share, since, now, settings,
                            m_statistics);
        record_outcome(row.m_counts, request, out);
    }
    ++m_counts.at(static_cast<std::size_t>(out.m_outcome));
    return out;
}

std::uint64_t limiter::count(quota_outcome outcome) const
{
    return m_counts.at(static_cast<std::size_t>(outcome));
}

std::vector<std::pair<std::uint64_t, workspace_counts>> limiter::counts() const
{
    std::vector<std::pair<std::uint64_t, workspace_counts>> out;
    out.reserve(m_rows.size());
    for (const auto& [workspace, row] : m_rows)
        out.emplace_back(workspace, row.m_counts);
    return out;
}

void limiter::evict_idle_rows(instant now)
{
    std::erase_if(m_rows, [&](const auto& entry) {
        return now - entry.second.m_last_request_at > row_idle_timeout;
    });
}

} // namespace pepperturn
