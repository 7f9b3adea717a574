// SPDX-License-Identifier: BSL-1.0
/// \file
/// What the attempts of a request tell of the request itself: whether runners
/// end because of it. Decisions only; crash_guard.hpp keeps what they are made
/// from.
///
/// What a runner answers is evidence of the request only where it has served
/// it whole. An error, a refusal, a connection that breaks and silence tell
/// nothing: the next runner may end all the same.
///
/// So an attempt that was served whole is a clean run, and one that was refused
/// before it ran tells nothing. After an error the runner is watched for a
/// while. After a broken connection or silence it is looked for at once, and
/// watched if it lives.
#pragma once

#include "pepperturn/forward/exchange.hpp"
#include "pepperturn/turns/crash_ledger.hpp"

#include <cstdint>
#include <vector>

namespace pepperturn {

/// Clean runs from which on an end is doubtful.
constexpr std::uint32_t doubt_clean_runs = 2;
/// Clean runs since the last end from which on a request is sent as one that
/// has ended no runner.
constexpr std::uint32_t trusted_clean_runs = 4;
/// With more ends a request is not tried any more, however often it was served
/// before: it has become one that ends runners.
constexpr std::uint32_t max_trial_ends = 6;
/// Clean runs that clear a request of one end. A request that ends more than
/// one in so many of its runners is not cleared faster than it ends them.
constexpr std::uint32_t clean_runs_per_cleared_end = 4;
/// Outages of a whole service in which the end of its runner counts for
/// nothing. Requests that end all runners of a service together look like an
/// outage, and come back with it.
constexpr std::uint32_t max_excused_outages = 4;
/// Fewer other runners do not tell an outage from some ends at once.
constexpr std::size_t min_probed_runners = 4;
/// At least so many of them were alive when the attempt began, or at most so
/// long before: an outage from before it has not ended its runner.
constexpr std::size_t min_runners_alive_before = 2;
constexpr milliseconds alive_before_span{300};
/// How long a runner is watched that has answered or closed its connection, and
/// one that works on a request which it has not answered.
constexpr milliseconds answered_watch{200};
constexpr milliseconds unanswered_watch{3000};
/// Attempts of one request, under watch without an answer, from which on all of
/// them are reserved: each may end its runner yet. Of a request that has ended
/// runners, each is.
constexpr std::size_t reserved_watches = 2;
/// A runner that has been down for so long tells nothing of an outage now.
constexpr milliseconds long_down_span{1000};
/// How long what the crash ledger has told of a request is acted on.
constexpr milliseconds ledger_reply_lifetime{100};

/// What the end of an attempt asks for.
enum class run_follow_up : std::uint8_t
{
    /// Nothing is known, and nothing was reserved.
    none,
    /// The runner has not run it.
    release,
    /// The runner has served it whole.
    count_clean_run,
    /// Whether the runner has ended decides what is done next.
    probe_at_once,
    /// The same, while the caller is answered.
    probe_meanwhile,
    /// The runner has answered with an error, and may end of the request yet.
    watch
};

[[nodiscard]] const char* to_string(run_follow_up what);

/// How one attempt ended.
struct run_facts
{
    attempt_outcome m_outcome = attempt_outcome::unknown;
    /// Of the runner's response; 0: none.
    unsigned m_status = 0;
    /// See \ref attempt_result.
    bool m_broken_off = false;
    /// No first byte arrived, for long enough that the runner may have ended.
    bool m_silent = false;
    /// It was reserved in the crash ledger.
    bool m_claimed = false;

    friend bool operator==(const run_facts&, const run_facts&) = default;
};

[[nodiscard]] run_follow_up follow_up_of(const run_facts& run);

/// Another runner of the service, when a runner has ended.
struct other_runner
{
    /// It accepts no connection.
    bool m_down = false;
    /// When it last accepted a connection or answered; empty: never.
    std::optional<instant> m_last_alive;
    /// When it last refused a connection or broke one off; empty: never.
    std::optional<instant> m_last_failed;

    friend bool operator==(const other_runner&, const other_runner&) = default;
};

/// Whether the runner was down long before the attempt was sent.
[[nodiscard]] bool was_long_down(const other_runner& row, instant begun_at);
/// Whether a runner ended with its whole service, and not of its own. Those
/// that were down long before tell nothing.
/// \param begun_at when the attempt was sent that broke off
[[nodiscard]] bool is_outage(const std::vector<other_runner>& others,
                             instant begun_at);

/// What is known when a runner has ended under an attempt.
struct end_facts
{
    /// See \ref is_outage.
    bool m_outage = false;
    /// The request has not met too many outages, see \ref
    /// max_excused_outages.
    bool m_excusable = false;
    /// Runs of the request since its last end that were served whole.
    std::uint32_t m_clean_runs = 0;

    friend bool operator==(const end_facts&, const end_facts&) = default;
};

/// How much the end counts against the request; 0: not at all.
[[nodiscard]] std::uint32_t weigh_end(const end_facts& end);

/// Whether a request may be sent.
enum class run_admission : std::uint8_t
{
    /// As any other.
    send,
    /// After a reservation in its crash ledger.
    claim,
    /// The same beyond the bound: a request that has been served whole gets out
    /// of suspicion by being served again, as many at a time as it has clean
    /// runs.
    trial,
    /// The crash ledger has to be read first.
    ask,
    refuse
};

[[nodiscard]] const char* to_string(run_admission admission);

/// What one VM knows of a request.
struct request_record
{
    /// Runners known to have ended under it.
    std::uint32_t m_ends = 0;
    /// Clean runs through this VM since the last end.
    std::uint32_t m_clean_runs = 0;
    /// The crash ledger has told so a moment ago.
    bool m_ends_confirmed = false;
    std::uint32_t m_trials_under_way = 0;

    friend bool operator==(const request_record&,
                           const request_record&) = default;
};

[[nodiscard]] run_admission admit_run(const request_record& known);

/// Clean runs that still speak for a request after an end that counts: one that
/// was trusted may be tried once more.
[[nodiscard]] std::uint32_t clean_runs_after_end(std::uint32_t before);

} // namespace pepperturn
