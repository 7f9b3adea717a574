// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/crash_guard.hpp"

#include <algorithm>
#include <utility>

namespace pepperturn {

namespace {

/// How long the storage VMs are waited for: several times a quorum's usual
/// latency, since the caller waits too.
constexpr milliseconds ledger_timeout{300};
/// A VM that has just started may have to connect first, as the storage VMs
/// have just started too.
constexpr milliseconds ask_timeout{1000};
/// All attempts at a runner that ends break off within this time.
constexpr milliseconds common_end_span{1000};

/// All runs of one request that an outage ends, end within this time.
constexpr milliseconds outage_span{1000};
/// How long a report counts beside the ledger: the VM that sent it may be about
/// to record the end.
constexpr milliseconds report_grace{400};
/// Requests whose ends this VM keeps recording; each may have some.
constexpr std::size_t max_pending = 256;
/// More tell nothing further.
constexpr std::uint32_t max_clean_runs = 1000;

/// \param row of the ledger: an attempt, or an end
begin_request ledger_request(std::uint64_t fingerprint, const id_key& row,
                             std::uint32_t weight)
{
    begin_request out;
    out.m_program = crash_ledger_key(fingerprint);
    out.m_attempt = row;
    out.m_tokens = weight;
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

crash_ledger_access access_through(turn_client& turns)
{
    crash_ledger_access out;
    out.m_begin = [&turns](begin_request request, instant deadline) {
        return turns.begin(std::move(request), deadline);
    };
    out.m_read = [&turns](id_key ledger, instant deadline) {
        return turns.read_unsettled(ledger, deadline);
    };
    out.m_settle = [&turns](const begin_request& row) { turns.settle(row, 0); };
    return out;
}

crash_guard::crash_guard(const clock& time, crash_ledger_access ledgers)
    : m_time(time), m_ledgers(std::move(ledgers))
{}

void crash_guard::on_report(reporter report)
{
    m_report = std::move(report);
}

void crash_guard::learn(const std::vector<suspect>& rows)
{
    const auto now = m_time.now();
    for (const auto& row : m_suspects.merge(rows, now))
        note_report(row, now);
}

void crash_guard::note_report(const suspect& row, instant now)
{
    auto& record = m_records.at(row.m_fingerprint);
    record.m_reported_at = now;
    record.m_reported_ends = row.m_ends;
}

void crash_guard::learn_end(std::uint64_t fingerprint, std::uint32_t ends)
{
    (void)m_suspects.merge(
        {{fingerprint, ends,
          static_cast<std::uint32_t>(crash_retention.count())}},
        m_time.now());
}

crash_count
crash_guard::add_unrecorded(std::uint64_t fingerprint,
                            const std::vector<reservation>& unsettled) const
{
    auto out = count_crashes(unsettled);
    const auto pending = m_pending.find(fingerprint);
    if (pending != m_pending.end())
    {
        for (const auto& row : pending->second)
            out.m_end_weight += row.m_weight;
    }
    const auto record = m_records.find(fingerprint);
    if (record.m_reported_at &&
        m_time.now() - *record.m_reported_at < report_grace)
        out.m_end_weight = std::max<std::uint64_t>(
            out.m_end_weight, certain_end_weight * record.m_reported_ends);
    return out;
}

void crash_guard::apply_count(std::uint64_t fingerprint,
                              const crash_count& count)
{
    const auto now = m_time.now();
    auto& record = m_records.at(fingerprint);
    record.m_ledger_read_at = now;
    record.m_has_ends = count.m_end_weight > 0;
    const auto left = std::max(remaining(fingerprint), milliseconds(1));
    const bool known = known_ends(fingerprint) > 0;
    m_suspects.set(
        {fingerprint, ends_of_weight(count.m_end_weight),
         static_cast<std::uint32_t>((known ? left : crash_retention).count())},
        now);
    // What is under way elsewhere may end a runner yet.
    if (count.m_end_weight == 0 && count.m_reserved_weight > 0)
        learn_end(fingerprint, 1);
}

std::uint32_t crash_guard::known_ends(std::uint64_t fingerprint) const
{
    return m_suspects.ends(fingerprint, m_time.now());
}

std::uint32_t crash_guard::clean_runs(std::uint64_t fingerprint) const
{
    return m_records.find(fingerprint).m_clean_runs;
}

bool crash_guard::has_ends(std::uint64_t fingerprint) const
{
    return m_records.find(fingerprint).m_has_ends;
}

milliseconds crash_guard::remaining(std::uint64_t fingerprint) const
{
    return m_suspects.remaining(fingerprint, m_time.now());
}

run_admission crash_guard::admit(std::uint64_t fingerprint) const
{
    const auto record = m_records.find(fingerprint);
    request_record known;
    known.m_ends = known_ends(fingerprint);
    known.m_clean_runs = record.m_clean_runs;
    known.m_ends_confirmed =
        record.m_ledger_read_at &&
        m_time.now() - *record.m_ledger_read_at < ledger_reply_lifetime;
    known.m_trials_under_way = record.m_trials_under_way;
    return admit_run(known);
}

task<bool> crash_guard::ask_for_ends(std::uint64_t fingerprint)
{
    const auto ledger = crash_ledger_key(fingerprint);
    const auto timeout = m_told ? ledger_timeout : ask_timeout;
    const auto unsettled =
        co_await m_ledgers.m_read(ledger, m_time.now() + timeout);
    if (!unsettled)
        co_return false;
    apply_count(fingerprint, add_unrecorded(fingerprint, *unsettled));
    co_return true;
}

task<claim_outcome> crash_guard::claim(guarded_attempt attempt, bool trial)
{
    const auto fingerprint = attempt.m_fingerprint;
    if (trial)
        ++m_records.at(fingerprint).m_trials_under_way;
    const auto request =
        ledger_request(fingerprint, attempt.m_key, certain_end_weight);
    const auto begun =
        co_await m_ledgers.m_begin(request, m_time.now() + ledger_timeout);
    auto out = claim_outcome::unconfirmed;
    if (begun.m_outcome == begin_outcome::granted)
    {
        const auto count = add_unrecorded(fingerprint, begun.m_unsettled);
        apply_count(fingerprint, count);
        const bool fits =
            may_end_another(count.m_end_weight + count.m_reserved_weight);
        out = trial || fits ? claim_outcome::granted : claim_outcome::exhausted;
    }
    if (out != claim_outcome::granted)
        release(attempt);
    if (out != claim_outcome::granted && trial)
        end_trial(fingerprint);
    co_return out;
}

void crash_guard::end_trial(std::uint64_t fingerprint)
{
    // The record may have made room for others meanwhile.
    auto& record = m_records.at(fingerprint);
    record.m_trials_under_way -= record.m_trials_under_way > 0 ? 1 : 0;
}

std::uint32_t crash_guard::weigh(std::uint64_t fingerprint, bool outage)
{
    end_facts end;
    end.m_outage = outage;
    end.m_excusable = outage && count_outage(fingerprint);
    auto& record = m_records.at(fingerprint);
    end.m_clean_runs = record.m_clean_runs;
    if (!outage)
    {
        record.m_clean_runs = clean_runs_after_end(record.m_clean_runs);
        record.m_uncleared_runs = 0;
    }
    return weigh_end(end);
}

bool crash_guard::count_outage(std::uint64_t fingerprint)
{
    auto& record = m_records.at(fingerprint);
    const auto now = m_time.now();
    if (record.m_excused_at && now - *record.m_excused_at < outage_span)
        return true;
    if (record.m_excused_outages >= max_excused_outages)
        return false;
    ++record.m_excused_outages;
    record.m_excused_at = now;
    return true;
}

bool crash_guard::excuse_end(const guarded_attempt& attempt,
                             std::uint32_t clean_runs)
{
    const auto fingerprint = attempt.m_fingerprint;
    if (!count_outage(fingerprint))
        return false;
    m_ledgers.m_settle(
        ledger_request(fingerprint, end_row_key(attempt.m_key), 0));
    auto& record = m_records.at(fingerprint);
    record.m_clean_runs = std::max(record.m_clean_runs, clean_runs);
    return true;
}

task<std::optional<std::uint32_t>>
crash_guard::record_end(guarded_attempt attempt, bool claimed,
                        std::uint32_t weight)
{
    const auto fingerprint = attempt.m_fingerprint;
    if (!claimed && is_recorded(attempt))
        co_return known_ends(fingerprint);
    // Whatever the storage VMs reply, this VM remembers the end.
    learn_end(fingerprint, 1);
    const auto request =
        ledger_request(fingerprint, end_row_key(attempt.m_key), weight);
    const auto begun =
        co_await m_ledgers.m_begin(request, m_time.now() + ledger_timeout);
    if (begun.m_outcome != begin_outcome::granted)
    {
        // The reservation counts as an end until it is settled.
        if (claimed)
            co_return known_ends(fingerprint);
        if (m_pending.size() < max_pending)
            m_pending[fingerprint].push_back(
                {end_row_key(attempt.m_key), weight});
        // Other VMs must not count from none.
        co_await report(fingerprint, known_ends(fingerprint));
        co_return std::nullopt;
    }
    if (claimed)
        release(attempt);
    const auto count = count_crashes(begun.m_unsettled);
    const auto ends = ends_of_weight(count.m_end_weight + weight);
    learn_end(fingerprint, ends);
    auto& record = m_records.at(fingerprint);
    record.m_ledger_read_at = m_time.now();
    record.m_has_ends = true;
    co_await report(fingerprint, ends);
    if (m_watched.contains(fingerprint))
        co_await reserve_watched(fingerprint);
    co_return ends;
}

task<bool> crash_guard::record_pending(std::uint64_t fingerprint)
{
    const auto found = m_pending.find(fingerprint);
    if (found == m_pending.end())
        co_return true;
    const auto row = found->second.back();
    const auto request = ledger_request(fingerprint, row.m_row, row.m_weight);
    const auto begun =
        co_await m_ledgers.m_begin(request, m_time.now() + ledger_timeout);
    if (begun.m_outcome != begin_outcome::granted)
    {
        const suspect known{
            fingerprint, std::max(known_ends(fingerprint), 1U),
            static_cast<std::uint32_t>(crash_retention.count())};
        if (m_report)
            co_await m_report(known);
        co_return false;
    }
    auto& rows = m_pending[fingerprint];
    std::erase_if(
        rows, [&](const pending_end& each) { return each.m_row == row.m_row; });
    const bool done = rows.empty();
    if (done)
        m_pending.erase(fingerprint);
    co_return done;
}

task<> crash_guard::report(std::uint64_t fingerprint, std::uint32_t ends)
{
    const suspect row{fingerprint, ends,
                      static_cast<std::uint32_t>(crash_retention.count())};
    if (m_report && admit_report(m_reports, row, m_time.now()))
        co_await m_report(row);
}

void crash_guard::release(const guarded_attempt& attempt)
{
    m_ledgers.m_settle(ledger_request(attempt.m_fingerprint, attempt.m_key, 0));
}

bool crash_guard::note_clean_run(std::uint64_t fingerprint)
{
    auto& record = m_records.at(fingerprint);
    record.m_clean_runs = std::min(record.m_clean_runs + 1, max_clean_runs);
    if (known_ends(fingerprint) == 0)
        return false;
    if (++record.m_uncleared_runs < clean_runs_per_cleared_end)
        return false;
    record.m_uncleared_runs = 0;
    return true;
}

task<bool> crash_guard::clear_end(std::uint64_t fingerprint)
{
    const auto ledger = crash_ledger_key(fingerprint);
    const auto unsettled =
        co_await m_ledgers.m_read(ledger, m_time.now() + ledger_timeout);
    if (!unsettled)
        co_return false;
    auto count = count_crashes(*unsettled);
    const bool found = !count.m_end_rows.empty();
    if (found)
    {
        const auto& row = count.m_end_rows.front();
        m_ledgers.m_settle(ledger_request(fingerprint, row, 0));
        count.m_end_weight -= std::find_if(unsettled->begin(), unsettled->end(),
                                           [&](const reservation& each) {
                                               return each.m_attempt == row;
                                           })
                                  ->m_tokens;
    }
    apply_count(fingerprint, count);
    co_return found;
}

bool crash_guard::begin_watch(const guarded_attempt& attempt)
{
    auto& watched = m_watched[attempt.m_fingerprint];
    watched.push_back({attempt, false});
    return watched.size() >= reserved_watches ||
           known_ends(attempt.m_fingerprint) > 0;
}

task<> crash_guard::reserve_watched(std::uint64_t fingerprint)
{
    std::vector<guarded_attempt> attempts;
    for (const auto& row : m_watched[fingerprint])
    {
        if (!row.m_reserved)
            attempts.push_back(row.m_attempt);
    }
    if (attempts.empty())
        co_return;
    learn_end(fingerprint, 1);
    for (const auto& attempt : attempts)
    {
        const auto request =
            ledger_request(fingerprint, attempt.m_key, certain_end_weight);
        const auto begun =
            co_await m_ledgers.m_begin(request, m_time.now() + ledger_timeout);
        if (begun.m_outcome != begin_outcome::granted)
            continue;
        if (auto* row = find_watched(attempt))
            row->m_reserved = true;
        else
            release(attempt);
    }
    co_await report(fingerprint, 1);
}

crash_guard::watched_attempt*
crash_guard::find_watched(const guarded_attempt& attempt)
{
    const auto found = m_watched.find(attempt.m_fingerprint);
    if (found == m_watched.end())
        return nullptr;
    auto& rows = found->second;
    const auto row =
        std::find_if(rows.begin(), rows.end(), [&](const auto& each) {
            return each.m_attempt == attempt;
        });
    return row == rows.end() ? nullptr : &*row;
}

bool crash_guard::end_watch(const guarded_attempt& attempt)
{
    const auto* row = find_watched(attempt);
    if (row == nullptr)
        return false;
    const bool reserved = row->m_reserved;
    auto& rows = m_watched[attempt.m_fingerprint];
    rows.erase(rows.begin() + (row - rows.data()));
    if (rows.empty())
        m_watched.erase(attempt.m_fingerprint);
    return reserved;
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
