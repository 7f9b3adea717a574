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
///
/// What VMs tell each other of suspects says only that there is something to
/// ask for. A request is refused by what its ledger has told a moment ago, so
/// that it is served again everywhere once one VM has cleared it. What clears
/// it is in run_evidence.hpp.
#pragma once

#include "pepperturn/cluster/suspects.hpp"
#include "pepperturn/forward/run_evidence.hpp"
#include "pepperturn/forward/run_records.hpp"
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

/// How crash ledgers are reached: by the storage VMs, or in memory.
struct crash_ledger_access
{
    std::function<task<begin_result>(begin_request, instant deadline)> m_begin;
    /// See \ref turn_client::read_unsettled.
    std::function<task<std::optional<std::vector<reservation>>>(
        id_key ledger, instant deadline)>
        m_read;
    std::function<void(const begin_request&)> m_settle;
};

[[nodiscard]] crash_ledger_access access_through(turn_client& turns);

class crash_guard
{
public:
    /// Tells other VMs of a suspect; returns once one storage VM knows it.
    using reporter = std::function<task<>(suspect)>;

    crash_guard(const clock& time, crash_ledger_access ledgers);

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
    /// Reads the request's crash ledger.
    /// \returns false: too few storage VMs replied
    [[nodiscard]] task<bool> ask_for_ends(std::uint64_t fingerprint);

    /// Whether the request may be sent, by what this VM knows.
    [[nodiscard]] run_admission admit(std::uint64_t fingerprint) const;
    /// Runners known here to have ended under the request.
    [[nodiscard]] std::uint32_t known_ends(std::uint64_t fingerprint) const;
    /// Runs of the request through this VM since its last end that were served
    /// whole.
    [[nodiscard]] std::uint32_t clean_runs(std::uint64_t fingerprint) const;
    /// Whether the crash ledger has told this VM of ends, not of attempts that
    /// may end a runner yet.
    [[nodiscard]] bool has_ends(std::uint64_t fingerprint) const;
    /// Until the ends of the request are forgotten.
    [[nodiscard]] milliseconds remaining(std::uint64_t fingerprint) const;

    /// Reserves an attempt of a request that has known ends.
    /// \param trial granted beyond the bound, and under way until \ref
    /// end_trial
    [[nodiscard]] task<claim_outcome> claim(guarded_attempt attempt,
                                            bool trial);
    void end_trial(std::uint64_t fingerprint);
    /// Weighs an end of the attempt's runner by what this VM knows of the
    /// request, and forgets the clean runs before an end that counts.
    /// \param outage see \ref is_outage
    [[nodiscard]] std::uint32_t weigh(std::uint64_t fingerprint, bool outage);
    /// Records that the attempt's runner has ended, unless another attempt of
    /// the same request that the runner worked on at that time has been
    /// recorded.
    /// \param claimed the attempt was reserved
    /// \param weight see \ref weigh
    /// \returns the runners that have ended; empty: too few storage VMs replied
    [[nodiscard]] task<std::optional<std::uint32_t>>
    record_end(guarded_attempt attempt, bool claimed, std::uint32_t weight);
    /// Records the request's ends that could not be recorded, or tells other
    /// VMs of them once more.
    /// \returns whether none is left
    [[nodiscard]] task<bool> record_pending(std::uint64_t fingerprint);
    /// Takes the recorded end of the attempt's runner back: its service went
    /// down with it.
    /// \param clean_runs of the request before the end
    /// \returns false: too many were taken back
    [[nodiscard]] bool excuse_end(const guarded_attempt& attempt,
                                  std::uint32_t clean_runs);
    /// The attempt has not ended its runner.
    void release(const guarded_attempt& attempt);
    /// A runner has served the request whole.
    /// \returns whether it has done so often enough to clear one of its ends
    [[nodiscard]] bool note_clean_run(std::uint64_t fingerprint);
    /// Removes one end from the request's crash ledger.
    /// \returns whether there was one
    [[nodiscard]] task<bool> clear_end(std::uint64_t fingerprint);

    /// Notes that an attempt was given up whose runner may work on it still.
    /// \returns whether the request has so many of them that \ref
    /// reserve_watched is due
    [[nodiscard]] bool begin_watch(const guarded_attempt& attempt);
    /// Reserves the request's attempts that are under watch, and tells other
    /// VMs that there is something to ask for.
    task<> reserve_watched(std::uint64_t fingerprint);
    [[nodiscard]] bool is_watched(std::uint64_t fingerprint) const
    {
        return m_watched.contains(fingerprint);
    }
    /// \returns whether the attempt was reserved
    [[nodiscard]] bool end_watch(const guarded_attempt& attempt);

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

    /// An end that could not be recorded.
    struct pending_end
    {
        id_key m_row;
        std::uint32_t m_weight = 0;
    };
    struct watched_attempt
    {
        guarded_attempt m_attempt;
        bool m_reserved = false;
    };

    void learn_end(std::uint64_t fingerprint, std::uint32_t ends);
    /// Counts an outage that excuses an end, once for all it ended.
    /// \returns false: too many were counted
    bool count_outage(std::uint64_t fingerprint);
    /// Null: it is not under watch.
    [[nodiscard]] watched_attempt* find_watched(const guarded_attempt& attempt);
    void note_report(const suspect& row, instant now);
    /// Tells other VMs of the request, if not too many were told of.
    task<> report(std::uint64_t fingerprint, std::uint32_t ends);
    /// What the ledger tells, and what it may not have been told yet.
    [[nodiscard]] crash_count
    add_unrecorded(std::uint64_t fingerprint,
                   const std::vector<reservation>& unsettled) const;
    /// Replaces what is known of the request.
    void apply_count(std::uint64_t fingerprint, const crash_count& count);
    void forget_old_runs();
    /// Null: the run has been forgotten.
    [[nodiscard]] run* find_run(const guarded_attempt& attempt);
    /// Whether the end that broke the attempt off has been recorded by another
    /// attempt of the same request; if not, this one records it.
    [[nodiscard]] bool is_recorded(const guarded_attempt& attempt);

    const clock& m_time;
    crash_ledger_access m_ledgers;
    reporter m_report;
    report_budget m_reports;
    bool m_told = false;
    suspect_table m_suspects;
    run_record_table m_records;
    /// By request.
    std::map<std::uint64_t, std::vector<pending_end>> m_pending;
    /// By request.
    std::map<std::uint64_t, std::vector<watched_attempt>> m_watched;
    /// By incarnation of the runner.
    std::map<std::uint64_t, std::vector<run>> m_runs;
};

} // namespace pepperturn
