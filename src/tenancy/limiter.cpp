// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/limiter.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// Rows beyond this are looked through for unused ones: more workspaces than
/// the largest fleet has.
constexpr std::size_t most_rows = 4096;
/// A row that was not asked for this long has a full bucket again and no
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
/// As many calls at the usual pace count as seen.
constexpr double usual_calls = 30;
/// Programs that end within this long after one of them was refused say
/// nothing of their pace: slowed ones would let ever more begin.
constexpr milliseconds cut_memory{6000};
/// Programs beyond this are not told apart; a share never holds as many.
constexpr std::size_t most_programs = 20000;
/// Refused callers come back no sooner than this, nor wait longer.
constexpr milliseconds soonest_retry{100};
constexpr milliseconds latest_retry{5000};
constexpr double ms_per_s = 1000;

double capacity_of(const limiter_row& row, const limiter_settings& settings)
{
    return row.m_share * (row.m_limit.m_burst + settings.m_spare);
}

double rate_of(const limiter_row& row)
{
    return row.m_share * row.m_limit.m_rate_per_s;
}

void refill(limiter_row& row, instant now, const limiter_settings& settings)
{
    const double span = std::max(0.0, to_seconds(now - row.m_filled));
    row.m_filled = now;
    row.m_tokens = std::min(capacity_of(row, settings),
                            row.m_tokens + span * rate_of(row));
}

/// Takes the newest limit that any VM knows, at once; what was refilled until
/// now was by the one before.
void take_limit(limiter_row& row, const quota_question& question, double share,
                instant now, const limiter_settings& settings)
{
    const bool is_first = row.m_share == 0;
    if (!is_first)
        refill(row, now, settings);
    if (is_first || question.m_config_revision >= row.m_config_revision)
    {
        row.m_config_revision = question.m_config_revision;
        row.m_limit = question.m_limit;
    }
    row.m_share = share;
    if (is_first)
        refill(row, now, settings);
    row.m_tokens = std::min(row.m_tokens, capacity_of(row, settings));
}

std::uint32_t retry_after(double missing, double rate)
{
    const auto longest = static_cast<double>(latest_retry.count());
    const double ms = rate > 0 ? missing / rate * ms_per_s : longest;
    return static_cast<std::uint32_t>(
        std::clamp(ms, static_cast<double>(soonest_retry.count()), longest));
}

void note_ended(limiter_row& row, const counted_program& program)
{
    row.m_ended_calls += program.m_calls;
    row.m_ended_s += to_seconds(program.m_last - program.m_first) + last_call_s;
    if (row.m_ended_calls < calls_remembered)
        return;
    row.m_ended_calls /= 2;
    row.m_ended_s /= 2;
}

/// Takes out programs that have ended, and learns their pace.
void sweep_programs(limiter_row& row, instant now)
{
    if (now - row.m_swept < sweep_interval)
        return;
    row.m_swept = now;
    const bool cut =
        row.m_cut_at != instant{} && now - row.m_cut_at < cut_memory;
    std::erase_if(row.m_programs, [&](const auto& entry) {
        const auto& program = entry.second;
        if (now - program.m_last < ended_after)
            return false;
        if (!cut)
            note_ended(row, program);
        return true;
    });
}

void note_call(limiter_row& row, std::uint64_t program, instant now)
{
    if (program == 0 || row.m_programs.size() >= most_programs)
        return;
    auto& seen = row.m_programs[program];
    if (seen.m_calls++ == 0)
        seen.m_first = now;
    seen.m_last = now;
}

/// The limit bears another program beside those under way.
/// \param missing calls a second that it lacks
bool bears_program(const limiter_row& row, const limiter_settings& settings,
                   double& missing)
{
    const double capacity = capacity_of(row, settings);
    if (row.m_tokens >= settings.m_ample * capacity)
        return true;
    const double spare =
        std::max(0.0, row.m_tokens - settings.m_reserve * capacity);
    const double room = rate_of(row) + spare / settings.m_spend_s;
    // Where there is no room here its calls go to the other owners as well.
    const auto programs =
        static_cast<double>(row.m_programs.size()) + row.m_share;
    missing = programs * program_pace(row, settings) - room;
    // One at a time goes on, however small the limit is.
    return (missing <= 0 && spare >= 1) || row.m_programs.empty();
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

double program_pace(const limiter_row& row, const limiter_settings& settings)
{
    return (row.m_ended_calls + usual_calls) /
           (row.m_ended_s + usual_calls / settings.m_usual_pace);
}

quota_answer take_request(limiter_row& row, const quota_question& question,
                          double share, instant now,
                          const limiter_settings& settings)
{
    take_limit(row, question, share, now, settings);
    sweep_programs(row, now);
    const double rate = rate_of(row);
    if (row.m_tokens < 1)
    {
        if (!question.m_begins)
            row.m_cut_at = now;
        return {quota_outcome::over_limit, retry_after(1 - row.m_tokens, rate)};
    }
    double missing = 0;
    if (question.m_begins && !bears_program(row, settings, missing))
        return {quota_outcome::over_limit,
                retry_after(missing * settings.m_spend_s, rate)};
    note_call(row, question.m_program, now);
    row.m_tokens -= 1;
    return {quota_outcome::granted, 0};
}

void return_request(limiter_row& row, const quota_question& question,
                    const limiter_settings& settings)
{
    const auto found = row.m_programs.find(question.m_program);
    if (found != row.m_programs.end() && --found->second.m_calls == 0)
        row.m_programs.erase(found);
    row.m_tokens = std::min(capacity_of(row, settings), row.m_tokens + 1);
}

quota_answer limiter::ask(const quota_question& question, double share,
                          instant since, instant now)
{
    quota_answer out;
    if (question.m_returned)
    {
        const auto found = m_rows.find(question.m_workspace);
        if (found != m_rows.end())
            return_request(found->second, question, m_settings);
        return out;
    }
    if (share > 0)
    {
        if (m_rows.size() >= most_rows)
            forget_unused(now);
        auto& row = m_rows[question.m_workspace];
        // Another VM may have granted this share before.
        if (row.m_filled < since)
        {
            row.m_share = 0;
            row.m_tokens = 0;
            row.m_filled = since;
        }
        out = take_request(row, question, share, now, m_settings);
    }
    ++m_counts.at(static_cast<std::size_t>(out.m_outcome));
    return out;
}

std::uint64_t limiter::count(quota_outcome outcome) const
{
    return m_counts.at(static_cast<std::size_t>(outcome));
}

void limiter::forget_unused(instant now)
{
    std::erase_if(m_rows, [&](const auto& entry) {
        return now - entry.second.m_filled > unused_after;
    });
}

} // namespace pepperturn
