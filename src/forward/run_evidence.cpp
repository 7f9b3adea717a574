// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/run_evidence.hpp"

#include "pepperturn/cluster/suspects.hpp"

namespace pepperturn {

namespace {

constexpr unsigned first_server_error = 500;

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

} // namespace

const char* to_string(run_follow_up what)
{
    switch (what)
    {
    case run_follow_up::none:
        return "none";
    case run_follow_up::release:
        return "release";
    case run_follow_up::count_clean_run:
        return "count_clean_run";
    case run_follow_up::probe_at_once:
        return "probe_at_once";
    case run_follow_up::probe_meanwhile:
        return "probe_meanwhile";
    case run_follow_up::watch:
        return "watch";
    }
    return "unknown";
}

run_follow_up follow_up_of(const run_facts& run)
{
    if (run.m_broken_off)
        return run_follow_up::probe_at_once;
    switch (run.m_outcome)
    {
    case attempt_outcome::not_run:
        return run_follow_up::release;
    case attempt_outcome::aborted:
        // The caller has left, or is to be answered at once.
        return run.m_silent || run.m_claimed ? run_follow_up::probe_meanwhile
                                             : run_follow_up::none;
    case attempt_outcome::answered:
        if (is_success(run.m_status))
            return run_follow_up::count_clean_run;
        break;
    case attempt_outcome::unknown:
        break;
    }
    return run.m_claimed || run.m_status >= first_server_error
               ? run_follow_up::watch
               : run_follow_up::release;
}

bool was_long_down(const other_runner& row, instant begun_at)
{
    return row.m_last_failed > row.m_last_alive &&
           row.m_last_failed < begun_at &&
           row.m_last_alive < begun_at - long_down_span;
}

bool is_outage(const std::vector<other_runner>& others, instant begun_at)
{
    std::size_t count = 0;
    std::size_t alive_before = 0;
    std::size_t down_before = 0;
    for (const auto& row : others)
    {
        if (!row.m_down)
            return false;
        if (was_long_down(row, begun_at))
            continue;
        ++count;
        if (row.m_last_failed > row.m_last_alive &&
            row.m_last_failed < begun_at)
            ++down_before;
        else if (row.m_last_alive >= begun_at - alive_before_span)
            ++alive_before;
    }
    return count >= min_probed_runners &&
           alive_before >= min_runners_alive_before && 2 * down_before <= count;
}

std::uint32_t weigh_end(const end_facts& end)
{
    if (end.m_outage && end.m_excusable)
        return 0;
    return end.m_outage || end.m_clean_runs >= doubt_clean_runs
               ? doubtful_end_weight
               : certain_end_weight;
}

const char* to_string(run_admission admission)
{
    switch (admission)
    {
    case run_admission::send:
        return "send";
    case run_admission::claim:
        return "claim";
    case run_admission::trial:
        return "trial";
    case run_admission::ask:
        return "ask";
    case run_admission::refuse:
        return "refuse";
    }
    return "unknown";
}

run_admission admit_run(const request_record& known)
{
    const bool trusted = known.m_clean_runs >= trusted_clean_runs &&
                         known.m_ends <= max_runner_ends;
    if (known.m_ends == 0 || trusted)
        return run_admission::send;
    if (known.m_ends < max_runner_ends)
        return run_admission::claim;
    if (!known.m_ends_confirmed)
        return run_admission::ask;
    const bool may_try = known.m_ends <= max_trial_ends &&
                         known.m_trials_under_way < known.m_clean_runs;
    return may_try ? run_admission::trial : run_admission::refuse;
}

std::uint32_t clean_runs_after_end(std::uint32_t before)
{
    return before >= trusted_clean_runs ? 1 : 0;
}

} // namespace pepperturn
