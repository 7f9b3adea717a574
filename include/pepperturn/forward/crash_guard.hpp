// SPDX-License-Identifier: BSL-1.0
/// \file
/// Bounds the runners that may end under one request, over all its tries and
/// all VMs.
///
/// The ends are counted in the request's crash ledger on the storage VMs. A
/// request that has no known end is sent without asking, but for a VM that has
/// just started and may not know of it yet. Once an end is known, each further
/// attempt is reserved in the ledger first, and counts as an end
/// until its runner is known to have outlived it: two VMs that send the request
/// at the same time cannot both use the last place.
#pragma once

#include "pepperturn/cluster/suspects.hpp"
#include "pepperturn/turns/crash_ledger.hpp"
#include "pepperturn/turns/turn_client.hpp"

#include <functional>

namespace pepperturn {

enum class claim_outcome : std::uint8_t
{
    granted,
    /// As many runners as may end have ended, or may yet.
    exhausted,
    /// Too few storage VMs replied to be certain.
    unconfirmed
};

[[nodiscard]] const char* to_string(claim_outcome outcome);

/// One attempt of a request at a runner.
struct guarded_attempt
{
    std::uint64_t m_fingerprint = 0;
    /// Its row in the crash ledger: unique among all attempts.
    id_key m_key;
    /// Hash of the runner's incarnation.
    std::uint64_t m_incarnation = 0;

    friend bool operator==(const guarded_attempt&,
                           const guarded_attempt&) = default;
};

/// Permission for an attempt of a request that has known ends.
struct run_claim
{
    claim_outcome m_outcome = claim_outcome::unconfirmed;
    /// Other attempts that count as ends.
    std::vector<id_key> m_counted;

    friend bool operator==(const run_claim&, const run_claim&) = default;
};

class crash_guard
{
public:
    /// Tells other VMs of a suspect; returns once one storage VM knows it.
    using reporter = std::function<task<>(suspect)>;

    crash_guard(const clock& time, turn_client& turns);

    void on_report(reporter report);
    /// Takes over what other VMs report.
    void learn(const std::vector<suspect>& rows);

    /// False until \ref note_told: a VM that has just started does not know
    /// under which requests runners have ended elsewhere.
    [[nodiscard]] bool told() const
    {
        return m_told;
    }
    /// Other VMs have told this one of all suspects.
    void note_told()
    {
        m_told = true;
    }
    /// Asks the storage VMs whether runners have ended under the request, for a
    /// VM that has not been told.
    /// \returns false: too few replied
    [[nodiscard]] task<bool> ask_for_ends(std::uint64_t fingerprint);

    /// Runners known here to have ended under the request.
    [[nodiscard]] std::uint32_t known_ends(std::uint64_t fingerprint) const;
    /// Until the ends of the request are forgotten.
    [[nodiscard]] milliseconds remaining(std::uint64_t fingerprint) const;

    /// Reserves an attempt of a request that has known ends.
    [[nodiscard]] task<run_claim> claim(guarded_attempt attempt);
    /// Records that the attempt's runner has ended, unless another attempt of
    /// the same request that the runner worked on at that time has been
    /// recorded.
    /// \param claim of the attempt; empty: it was made without one
    /// \returns the runners that have ended; empty: too few storage VMs replied
    [[nodiscard]] task<std::optional<std::uint32_t>>
    record_end(guarded_attempt attempt, std::optional<run_claim> claim);
    /// The attempt has not ended its runner.
    void release(const guarded_attempt& attempt);
    /// A runner has answered the request: earlier ends had other causes.
    void exonerate(const guarded_attempt& attempt, const run_claim& claim);

    /// Notes that the attempt's runner begins to work on it.
    void begin_run(const guarded_attempt& attempt);
    /// \param broken_off the runner may have ended
    void end_run(const guarded_attempt& attempt, bool broken_off);
    /// True if the runner works on another request that has known ends.
    [[nodiscard]] bool has_other_suspect(std::uint64_t incarnation,
                                         std::uint64_t fingerprint) const;

    [[nodiscard]] std::size_t suspect_count() const
    {
        return m_suspects.size();
    }

private:
    struct run
    {
        guarded_attempt m_attempt;
        /// Known before the run.
        std::uint32_t m_ends = 0;
        instant m_begun_at{};
        /// When it was broken off; empty: it is in progress.
        std::optional<instant> m_broken_off_at;
        /// The end of its runner is in the ledger, or on its way there.
        bool m_recorded = false;
    };

    void learn_end(std::uint64_t fingerprint, std::uint32_t ends);
    void forget_old_runs();
    /// Null: the run has been forgotten.
    [[nodiscard]] run* find_run(const guarded_attempt& attempt);
    /// Whether the end that broke the attempt off has been recorded by another
    /// attempt of the same request; if not, this one records it.
    [[nodiscard]] bool is_recorded(const guarded_attempt& attempt);

    const clock& m_time;
    turn_client& m_turns;
    reporter m_report;
    report_budget m_reports;
    bool m_told = false;
    suspect_table m_suspects;
    /// By incarnation of the runner.
    std::map<std::uint64_t, std::vector<run>> m_runs;
};

} // namespace pepperturn
