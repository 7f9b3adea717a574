// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/limiter.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Rows beyond this are looked through for unused ones: more workspaces than
/// the largest fleet has.
constexpr std::size_t most_rows = 4096;
/// A row that was not asked for this long has an empty window again and no
/// program under way.
constexpr milliseconds unused_after{60000};
/// A program without a call for this long has ended; pauses between calls are
/// shorter, but for calls that were refused.
constexpr milliseconds ended_after{2000};
constexpr milliseconds sweep_interval{500};
/// Programs that have ended count half after this many calls of them.
constexpr double calls_remembered = 1000;
/// A program that has ended took this much longer than from its first call to
/// its last, in seconds: the time of a call.
constexpr double last_call_s = 0.3;
/// As many programs as usual count as seen, and as many of all workspaces.
constexpr double usual_programs = 3;
/// For this long after a call of a program under way was refused, no program
/// is expected to end soon: too many have been let in, whatever their sizes
/// seemed to be.
constexpr milliseconds cut_memory{6000};
/// Programs beyond this are not told apart; a share never holds as many.
constexpr std::size_t most_programs = 20000;
/// Of what a program usually asks for, this much is expected even of one that
/// has asked for more.
constexpr double least_to_come = 0.25;
/// Calls to come are summed up anew no sooner: with thousands of programs
/// under way each first call would look through all of them.
constexpr milliseconds forecast_interval{50};
/// A kept place that nobody came for is free again after this: the spread of
/// the times that callers are told, and their way.
constexpr std::int64_t kept_slots = 10;
/// Callers beyond these are told a time, but no place is kept.
constexpr std::size_t most_kept = 512;
/// A program that is not begun comes back no sooner: calls of those under way
/// end meanwhile, and its client has few tries.
constexpr milliseconds soonest_begin{300};
/// Beyond this nobody is waited for: clients come back no later than a third
/// of the time that they have.
constexpr milliseconds latest_begin{1000};
/// Whoever has not come back by then does not come.
constexpr milliseconds told_patience{500};
/// Refused callers come back no sooner than this, nor wait longer.
constexpr milliseconds soonest_retry{100};
constexpr milliseconds latest_retry{5000};
constexpr double ms_per_s = 1000;

/// A packed place has this many bits for the wait.
constexpr unsigned wait_bits = 16;
constexpr std::uint32_t wait_mask = (1U << wait_bits) - 1;

double horizon_s(std::size_t index)
{
    return to_seconds(limit_span) * static_cast<double>(index + 1) /
           static_cast<double>(forecast_horizons);
}

/// Takes the newest limit that any VM knows, at once, and this VM's share.
void take_limit(limiter_row& row, const quota_request& question, double share,
                instant since, instant now, const limiter_settings& settings)
{
    const bool is_first = row.m_share == 0;
    advance_window(row.m_window, slot_at(now));
    if (is_first || question.m_config_revision >= row.m_config_revision)
    {
        row.m_config_revision = question.m_config_revision;
        row.m_limit = question.m_limit;
    }
    if (share < row.m_share)
    {
        scale_window(row.m_window, share / row.m_share);
        row.m_reserved.clear();
        row.m_counted_since = now;
    }
    row.m_share = share;
    const double most = max_in_window(row.m_limit, share, settings);
    // All that the window holds beyond the plain rate may come at one instant,
    // so that after a restart the plain rate is there again at once.
    const double at_rate =
        share * row.m_limit.m_rate_per_s * to_seconds(limit_span);
    set_window_bound(row.m_window, most, std::max(0.0, most - at_rate));
    if (is_first || since > row.m_granting_since)
        assume_max_granted(row.m_window, slot_at(since));
    row.m_granting_since =
        is_first ? since : std::max(row.m_granting_since, since);
    row.m_counted_since = std::max(row.m_counted_since, row.m_granting_since);
    row.m_last_request_at = now;
}

std::uint32_t as_retry(milliseconds wait)
{
    return static_cast<std::uint32_t>(
        std::clamp(wait, soonest_retry, latest_retry).count());
}

void learn(program_statistics& habits, const active_program& program)
{
    habits.m_programs += 1;
    habits.m_calls += program.m_calls;
    habits.m_seconds +=
        to_seconds(program.m_last_call_at - program.m_first_call_at) +
        last_call_s;
    if (habits.m_calls < calls_remembered)
        return;
    habits.m_programs /= 2;
    habits.m_calls /= 2;
    habits.m_seconds /= 2;
}

/// Takes out programs that have ended, and learns from them.
void sweep_programs(limiter_row& row, instant now, program_statistics& all)
{
    if (now - row.m_last_sweep_at < sweep_interval)
        return;
    row.m_last_sweep_at = now;
    std::erase_if(row.m_programs, [&](const auto& entry) {
        const auto& program = entry.second;
        if (now - program.m_last_call_at < ended_after)
            return false;
        if (!program.m_had_refusal)
        {
            learn(row.m_statistics, program);
            learn(all, program);
        }
        return true;
    });
}

void note_call(limiter_row& row, std::uint64_t program, instant now)
{
    if (program == 0 || row.m_programs.size() >= most_programs)
        return;
    auto& seen = row.m_programs[program];
    if (seen.m_calls++ == 0)
        seen.m_first_call_at = now;
    seen.m_last_call_at = now;
}

void note_cut(limiter_row& row, std::uint64_t program, instant now)
{
    row.m_last_refusal_at = now;
    const auto found = row.m_programs.find(program);
    if (found != row.m_programs.end())
        found->second.m_had_refusal = true;
}

/// Calls that a program makes until each of the horizons.
call_forecast calls_to_come(const program_estimate& usual, double left)
{
    call_forecast out{};
    for (std::size_t i = 0; i < forecast_horizons; ++i)
        out.at(i) = std::min(left, usual.m_call_rate_per_s * horizon_s(i));
    return out;
}

void add(call_forecast& sum, const call_forecast& more, double weight)
{
    for (std::size_t i = 0; i < forecast_horizons; ++i)
        sum.at(i) += weight * more.at(i);
}

void sum_up(limiter_row& row, const program_estimate& usual, instant now)
{
    if (now - row.m_forecast_at < forecast_interval)
        return;
    row.m_forecast_at = now;
    row.m_forecast = {};
    const bool cut = row.m_last_refusal_at != instant{} &&
                     now - row.m_last_refusal_at < cut_memory;
    for (const auto& [id, program] : row.m_programs)
    {
        const double left =
            cut ? usual.m_call_rate_per_s * horizon_s(forecast_horizons - 1)
                : std::max(usual.m_calls - program.m_calls,
                           usual.m_calls * least_to_come);
        // The longer it has been silent, the likelier it has ended.
        const double silent =
            to_seconds(now - program.m_last_call_at) / to_seconds(ended_after);
        add(row.m_forecast, calls_to_come(usual, left),
            std::clamp(1 - silent, 0.0, 1.0));
    }
}

/// Programs that asked before \p program and are about to come back.
double told_before(const limiter_row& row, std::uint64_t program)
{
    const auto found = std::find_if(
        row.m_deferred.begin(), row.m_deferred.end(), [&](const auto& at) {
            return program != 0 && at.m_program == program;
        });
    return static_cast<double>(found - row.m_deferred.begin());
}

/// The window will hold another program beside those under way and those that
/// were told to come back.
/// \param missing calls that it lacks room for
bool bears_program(limiter_row& row, const quota_request& question,
                   const limiter_settings& settings,
                   const program_statistics& all, instant now, double& missing)
{
    std::erase_if(row.m_deferred, [&](const deferred_program& at) {
        return now - at.m_retry_at > told_patience;
    });
    const auto usual = estimate_program(row.m_statistics, all, settings);
    sum_up(row, usual, now);
    const double most = settings.m_overcommit *
                        max_in_window(row.m_limit, row.m_share, settings);
    const auto own = calls_to_come(usual, usual.m_calls);
    const double before = told_before(row, question.m_program);
    missing = 0;
    for (std::size_t i = 0; i < forecast_horizons; ++i)
    {
        const auto still_inside =
            slots_in_window -
            static_cast<std::int64_t>(horizon_s(i) / to_seconds(slot_length));
        const double used = count_recent_grants(row.m_window, still_inside);
        missing = std::max(missing, used + row.m_forecast.at(i) +
                                        (before + 1) * own.at(i) - most);
    }
    // One at a time goes on, however small the limit is.
    if (missing > 0 && (!row.m_programs.empty() || before > 0))
        return false;
    add(row.m_forecast, own, 1);
    std::erase_if(row.m_deferred, [&](const deferred_program& at) {
        return at.m_program == question.m_program;
    });
    return true;
}

/// A program that is not begun now: tells when to come back, and lets those
/// who come later wait for it, if that is soon.
quota_reply put_off(limiter_row& row, const quota_request& question,
                    double missing, instant now,
                    const limiter_settings& settings)
{
    const double rate = max_in_window(row.m_limit, row.m_share, settings) /
                        to_seconds(limit_span);
    const double ms = std::min(missing / rate * ms_per_s,
                               static_cast<double>(latest_retry.count()));
    const auto retry = std::max(
        soonest_begin, milliseconds(static_cast<milliseconds::rep>(ms)));
    const bool is_kept = question.m_queue_timeout_ms > 0 &&
                         question.m_program != 0 && retry <= latest_begin &&
                         row.m_deferred.size() < most_kept;
    if (is_kept)
    {
        const auto index =
            static_cast<std::size_t>(told_before(row, question.m_program));
        if (index < row.m_deferred.size())
            row.m_deferred[index].m_retry_at = now + retry;
        else
            row.m_deferred.push_back({question.m_program, now + retry});
    }
    return {quota_outcome::over_limit, as_retry(retry)};
}

/// Places that nobody has come for are free again.
void drop_kept(limiter_row& row)
{
    std::erase_if(row.m_reserved, [&](const reserved_slot& kept) {
        if (kept.m_slot + kept_slots >= row.m_window.m_current_slot)
            return false;
        remove_grant(row.m_window, kept.m_slot);
        return true;
    });
}

/// The place that was kept for a call of \p program, if it may wait for it;
/// it is free then.
bool claim_kept(limiter_row& row, const quota_request& question)
{
    const auto latest = row.m_window.m_current_slot +
                        milliseconds(question.m_queue_timeout_ms) / slot_length;
    const auto found = std::find_if(
        row.m_reserved.begin(), row.m_reserved.end(), [&](const auto& at) {
            return at.m_program == question.m_program && at.m_slot <= latest;
        });
    if (question.m_program == 0 || found == row.m_reserved.end())
        return false;
    remove_grant(row.m_window, found->m_slot);
    row.m_reserved.erase(found);
    return true;
}

quota_reply grant(limiter_row& row, const quota_request& question,
                  std::int64_t slot, instant now)
{
    note_call(row, question.m_program, now);
    add_grant(row.m_window, slot);
    // Rounded up: no sooner than its slot begins.
    const auto wait = slot > row.m_window.m_current_slot
                          ? elapsed(now, start_of_slot(slot)) + milliseconds(1)
                          : milliseconds(0);
    return {.m_outcome = quota_outcome::granted,
            .m_packed_grant = pack_grant(slot, wait)};
}

/// No room within the caller's patience: tells when there is, and keeps that
/// place for whoever said that it would have waited.
quota_reply refuse(limiter_row& row, const quota_request& question,
                   std::int64_t from, instant now)
{
    if (!question.m_begins_program)
        note_cut(row, question.m_program, now);
    const auto last =
        row.m_window.m_current_slot + max_slots_ahead - kept_slots;
    const auto slot = find_free_slot(row.m_window, from, last);
    if (!slot)
        return {quota_outcome::over_limit, as_retry(latest_retry)};
    if (question.m_queue_timeout_ms > 0 && question.m_program != 0 &&
        row.m_reserved.size() < most_kept)
    {
        add_grant(row.m_window, *slot);
        row.m_reserved.push_back({question.m_program, *slot});
    }
    return {quota_outcome::over_limit,
            as_retry(elapsed(now, start_of_slot(*slot)))};
}

void note_outcome(workspace_counts& counts, const quota_request& question,
                  const quota_reply& told)
{
    counts.increment(workspace_event::asked);
    if (told.m_outcome == quota_outcome::granted)
    {
        counts.increment(workspace_event::served);
        if (wait_of_grant(told.m_packed_grant) > milliseconds(0))
            counts.increment(workspace_event::waited);
        return;
    }
    counts.increment(question.m_begins_program
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

std::size_t owner_count_for(const quota_request& question)
{
    return question.m_exact ? 1 : target_owner_count;
}

quota_request limit_queue_timeout(quota_request question,
                                  std::optional<milliseconds> longest)
{
    const auto most = longest.value_or(milliseconds(0)).count();
    question.m_queue_timeout_ms =
        static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(
            most, 0,
            static_cast<milliseconds::rep>(question.m_queue_timeout_ms)));
    return question;
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
        const double programs = seen.m_programs + usual_programs;
        return program_statistics{
            1, (seen.m_calls + usual_programs * calls) / programs,
            (seen.m_seconds + usual_programs * seconds) / programs};
    };
    const auto any =
        blend(all, settings.m_default_calls,
              settings.m_default_calls / settings.m_default_call_rate_per_s);
    const auto usual = blend(own, any.m_calls, any.m_seconds);
    return {usual.m_calls, usual.m_calls / usual.m_seconds};
}

quota_reply admit_request(limiter_row& row, const quota_request& question,
                          double share, instant since, instant now,
                          const limiter_settings& settings,
                          program_statistics& all)
{
    take_limit(row, question, share, since, now, settings);
    sweep_programs(row, now, all);
    drop_kept(row);
    const auto here = row.m_window.m_current_slot;
    double missing = 0;
    if (question.m_begins_program &&
        !bears_program(row, question, settings, all, now, missing))
        return put_off(row, question, missing, now, settings);
    (void)claim_kept(row, question);
    const auto latest =
        std::min(here + milliseconds(question.m_queue_timeout_ms) / slot_length,
                 here + max_slots_ahead);
    if (const auto slot = find_free_slot(row.m_window, here, latest))
        return grant(row, question, *slot, now);
    return refuse(row, question, latest + 1, now);
}

void return_grant(limiter_row& row, const quota_request& question, instant now)
{
    const auto found = row.m_programs.find(question.m_program);
    if (found != row.m_programs.end() && --found->second.m_calls == 0)
        row.m_programs.erase(found);
    advance_window(row.m_window, slot_at(now));
    const auto slot =
        slot_of_grant(question.m_packed_grant, row.m_window.m_current_slot);
    if (start_of_slot(slot) >= row.m_counted_since)
        remove_grant(row.m_window, slot);
}

quota_reply limiter::handle(const quota_request& question, double share,
                            instant since, instant now)
{
    quota_reply out;
    if (question.m_is_return)
    {
        const auto found = m_rows.find(question.m_workspace);
        if (found != m_rows.end())
            return_grant(found->second, question, now);
        return out;
    }
    if (share > 0)
    {
        if (m_rows.size() >= most_rows)
            evict_idle_rows(now);
        auto& row = m_rows[question.m_workspace];
        auto settings = m_settings;
        if (question.m_exact)
            settings.m_slack = settings.m_excess = 0;
        out = admit_request(row, question, share, since, now, settings,
                            m_statistics);
        note_outcome(row.m_counts, question, out);
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
        return now - entry.second.m_last_request_at > unused_after;
    });
}

} // namespace pepperturn
