// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/crash_guard.hpp"

#include <algorithm>

namespace pepperturn {

namespace {

/// How long the storage VMs are waited for: several times a quorum's usual
/// latency, since the caller waits too.
constexpr milliseconds ledger_timeout{300};
/// A VM that asks may have to connect first, as the storage VMs have just
/// started too.
constexpr milliseconds ask_timeout{1000};
/// All attempts at a runner that ends break off within this time.
constexpr milliseconds common_end_span{1000};

begin_request ledger_request(const guarded_attempt& attempt)
{
    begin_request out;
    out.m_program = crash_ledger_key(attempt.m_fingerprint);
    out.m_attempt = attempt.m_key;
    out.m_tokens = 1;
    // The rows are counted here, since an end is recorded in any case.
    out.m_budget = UINT64_MAX;
    out.m_retention_ms = static_cast<std::uint32_t>(crash_retention.count());
    return out;
}

} // namespace

const char* to_string(claim_outcome outcome)
{
    switch (outcome)
    {
    case claim_outcome::granted:
        return "granted";
    case claim_outcome::exhausted:
        return "exhausted";
    case claim_outcome::unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

crash_guard::crash_guard(const clock& time, turn_client& turns)
    : m_time(time), m_turns(turns)
{}

void crash_guard::on_report(reporter report)
{
    m_report = std::move(report);
}

void crash_guard::learn(const std::vector<suspect>& rows)
{
    m_suspects.merge(rows, m_time.now());
}

void crash_guard::learn_end(std::uint64_t fingerprint, std::uint32_t ends)
{
    learn({{fingerprint, ends,
            static_cast<std::uint32_t>(crash_retention.count())}});
}

std::uint32_t crash_guard::known_ends(std::uint64_t fingerprint) const
{
    return m_suspects.ends(fingerprint, m_time.now());
}

milliseconds crash_guard::remaining(std::uint64_t fingerprint) const
{
    return m_suspects.remaining(fingerprint, m_time.now());
}

task<bool> crash_guard::ask_for_ends(std::uint64_t fingerprint)
{
    if (known_ends(fingerprint) > 0)
        co_return true;
    const auto ledger = crash_ledger_key(fingerprint);
    const auto counted =
        co_await m_turns.read_unsettled(ledger, m_time.now() + ask_timeout);
    if (!counted)
        co_return false;
    // Attempts in progress are among them: how many have ended shows in the
    // claim of the next one.
    if (!counted->empty())
        learn_end(fingerprint, 1);
    co_return true;
}

task<run_claim> crash_guard::claim(guarded_attempt attempt)
{
    const auto request = ledger_request(attempt);
    auto begun = co_await m_turns.begin(request, m_time.now() + ledger_timeout);
    run_claim out;
    if (begun.m_outcome == begin_outcome::granted)
    {
        out.m_counted = std::move(begun.m_unsettled);
        out.m_outcome = out.m_counted.size() < max_runner_ends
                            ? claim_outcome::granted
                            : claim_outcome::exhausted;
    }
    if (out.m_outcome != claim_outcome::granted)
        release(attempt);
    co_return out;
}

task<std::optional<std::uint32_t>>
crash_guard::record_end(guarded_attempt attempt, std::optional<run_claim> claim)
{
    std::vector<id_key> counted;
    if (claim)
        counted = std::move(claim->m_counted);
    else if (is_recorded(attempt))
        co_return known_ends(attempt.m_fingerprint);
    else
    {
        // Whatever the storage VMs reply, this VM remembers the end.
        learn_end(attempt.m_fingerprint, 1);
        const auto request = ledger_request(attempt);
        auto begun =
            co_await m_turns.begin(request, m_time.now() + ledger_timeout);
        if (begun.m_outcome != begin_outcome::granted)
            co_return std::nullopt;
        counted = std::move(begun.m_unsettled);
    }
    const auto ends = static_cast<std::uint32_t>(counted.size() + 1);
    learn_end(attempt.m_fingerprint, ends);
    const suspect row{attempt.m_fingerprint, ends,
                      static_cast<std::uint32_t>(crash_retention.count())};
    if (m_report && admit_report(m_reports, row, m_time.now()))
        co_await m_report(row);
    co_return ends;
}

void crash_guard::release(const guarded_attempt& attempt)
{
    m_turns.settle(ledger_request(attempt), 0);
}

void crash_guard::exonerate(const guarded_attempt& attempt,
                            const run_claim& claim)
{
    release(attempt);
    for (const auto& key : claim.m_counted)
        release({attempt.m_fingerprint, key, 0});
    m_suspects.erase(attempt.m_fingerprint);
}

void crash_guard::begin_run(const guarded_attempt& attempt)
{
    m_runs[attempt.m_incarnation].push_back(
        {attempt, known_ends(attempt.m_fingerprint), m_time.now(), std::nullopt,
         false});
}

crash_guard::run* crash_guard::find_run(const guarded_attempt& attempt)
{
    const auto found = m_runs.find(attempt.m_incarnation);
    if (found == m_runs.end())
        return nullptr;
    auto& runs = found->second;
    const auto row =
        std::find_if(runs.begin(), runs.end(), [&](const run& each) {
            return each.m_attempt == attempt;
        });
    return row == runs.end() ? nullptr : &*row;
}

void crash_guard::end_run(const guarded_attempt& attempt, bool broken_off)
{
    auto* ended = find_run(attempt);
    if (ended == nullptr)
        return;
    if (broken_off)
    {
        ended->m_broken_off_at = m_time.now();
        forget_old_runs();
        return;
    }
    auto& runs = m_runs[attempt.m_incarnation];
    runs.erase(runs.begin() + (ended - runs.data()));
    if (runs.empty())
        m_runs.erase(attempt.m_incarnation);
}

bool crash_guard::is_recorded(const guarded_attempt& attempt)
{
    auto* own = find_run(attempt);
    if (own == nullptr)
        return false;
    const auto& runs = m_runs[attempt.m_incarnation];
    const bool recorded =
        std::any_of(runs.begin(), runs.end(), [&](const run& other) {
            return other.m_recorded &&
                   other.m_attempt.m_fingerprint == attempt.m_fingerprint &&
                   other.m_broken_off_at >= own->m_begun_at;
        });
    own->m_recorded = !recorded;
    return recorded;
}

void crash_guard::forget_old_runs()
{
    const auto now = m_time.now();
    for (auto& [incarnation, runs] : m_runs)
        std::erase_if(runs, [&](const run& row) {
            return row.m_broken_off_at &&
                   now - *row.m_broken_off_at > common_end_span;
        });
    std::erase_if(m_runs, [](const auto& row) { return row.second.empty(); });
}

bool crash_guard::has_other_suspect(std::uint64_t incarnation,
                                    std::uint64_t fingerprint) const
{
    const auto found = m_runs.find(incarnation);
    return found != m_runs.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const run& row) {
                           return row.m_attempt.m_fingerprint != fingerprint &&
                                  row.m_ends > 0 && !row.m_broken_off_at;
                       });
}

} // namespace pepperturn
