// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts the requests of workspaces against this VM's shares of their limits.
///
/// Load pattern: a workspace that starts several times as many programs as its
/// limit can serve. If only requests were counted, all programs would start and
/// all would be interrupted half-way. Here a program's first call is admitted
/// only if the window (\ref limit_window) can hold the calls that it is
/// expected to make, in addition to those of the active programs. Calls of
/// active programs are admitted while there is any capacity. Where there is
/// none at present, they get the next free slot, which is reported at once: the
/// caller waits, nothing is queued here.
///
/// Each VM counts its share of what the operator tolerates, so that all VMs
/// together never grant more. A VM that starts does not know its earlier grants
/// and assumes that they were the maximum.
#pragma once

#include "pepperturn/tenancy/limit_owners.hpp"
#include "pepperturn/tenancy/limit_window.hpp"
#include "pepperturn/tenancy/workspace_counts.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

#include <unordered_map>

namespace pepperturn {

/// A request to an owner for a grant, or to take one back.
struct quota_request
{
    /// Hash of the workspace's name.
    std::uint64_t m_workspace = 0;
    /// As the requesting VM knows it.
    request_limit m_limit;
    /// Revision of the configuration that m_limit is from.
    std::uint64_t m_config_revision = 0;
    /// Hash of the program's id; 0: no program.
    std::uint64_t m_program = 0;
    /// Whether it is the first call of a program.
    bool m_begins_program = false;
    /// Returns an unused grant instead of requesting one.
    bool m_is_return = false;
    /// Maximum wait for capacity below the limit, in milliseconds.
    std::uint32_t m_queue_timeout_ms = 0;
    /// The returned grant, as in \ref quota_reply::m_packed_grant.
    std::uint32_t m_packed_grant = 0;
    /// Grants nothing above the limit, from a single owner: such limits are
    /// small, and there are many of them.
    bool m_exact = false;

    friend bool operator==(const quota_request&,
                           const quota_request&) = default;
};

/// Number of owners that the limit is divided among, if there are as many
/// members.
[[nodiscard]] std::size_t owner_count_for(const quota_request& request);

/// Caps the request's queue timeout at \p max_timeout: an owner must not grant
/// a slot in a time when another owner may grant the same.
[[nodiscard]] quota_request
limit_queue_timeout(quota_request request,
                    std::optional<milliseconds> max_timeout);

enum class quota_outcome : std::uint8_t
{
    granted,
    /// No capacity is left below the limit.
    over_limit,
    /// This VM owns no share, or its views are too old: another VM may grant.
    not_owner
};

[[nodiscard]] const char* to_string(quota_outcome outcome);

struct quota_reply
{
    quota_outcome m_outcome = quota_outcome::not_owner;
    /// Over the limit: when to retry, in milliseconds.
    std::uint32_t m_retry_after_ms = 0;
    /// Granted: the slot and the wait (\ref pack_grant).
    std::uint32_t m_packed_grant = 0;

    friend bool operator==(const quota_reply&, const quota_reply&) = default;
};

/// Encodes a grant for the wire: its slot, and how long the request waits until
/// then. A returned grant carries this value, so that exactly its slot is
/// freed.
[[nodiscard]] std::uint32_t pack_grant(std::int64_t slot, milliseconds wait);
[[nodiscard]] milliseconds wait_of_grant(std::uint32_t packed);
/// \param now a slot less than half an hour away from the grant's
[[nodiscard]] std::int64_t slot_of_grant(std::uint32_t packed,
                                         std::int64_t now);

struct limiter_settings
{
    /// Requests above the limit that distributed counting may admit, nine
    /// tenths of what the operator tolerates (20): owners grant whole requests,
    /// and a third of a small limit holds few. The rest is for requests that
    /// are not counted here.
    double m_slack = 18;
    /// Fraction of the limit that is granted above it, three quarters of what
    /// the operator tolerates (a tenth), for the same reasons.
    double m_excess = 0.075;
    /// Fraction of the window that the expected calls of programs may fill.
    /// Above 1: calls can wait a little for capacity, and a program that ends
    /// late is worth more than one that was never started.
    double m_overcommit = 1.3;
    /// Assumed calls per second of a program before any program has ended: a
    /// turn and a tool call or two within a second.
    double m_default_call_rate_per_s = 4;
    /// Assumed calls of a program before any program has ended.
    double m_default_calls = 16;

    friend bool operator==(const limiter_settings&,
                           const limiter_settings&) = default;
};

/// Totals over ended programs, with exponential decay.
struct program_statistics
{
    double m_programs = 0;
    double m_calls = 0;
    double m_seconds = 0;

    friend bool operator==(const program_statistics&,
                           const program_statistics&) = default;
};

/// Number of instants for which expected calls are summed: each quarter of the
/// window.
constexpr std::size_t forecast_horizons = 4;
using call_forecast = std::array<double, forecast_horizons>;

/// A program that has started and not ended.
struct active_program
{
    std::uint32_t m_calls = 0;
    instant m_first_call_at{};
    instant m_last_call_at{};
    /// One of its calls was refused, so its length is not representative.
    bool m_had_refusal = false;

    friend bool operator==(const active_program&,
                           const active_program&) = default;
};

/// A slot reserved for the retry of a refused call.
struct reserved_slot
{
    std::uint64_t m_program = 0;
    std::int64_t m_slot = 0;

    friend bool operator==(const reserved_slot&,
                           const reserved_slot&) = default;
};

/// A program that was not admitted and is expected to retry.
struct deferred_program
{
    std::uint64_t m_program = 0;
    instant m_retry_at{};

    friend bool operator==(const deferred_program&,
                           const deferred_program&) = default;
};

/// State of one workspace at one owner.
struct limiter_row
{
    request_limit m_limit;
    std::uint64_t m_config_revision = 0;
    double m_share = 0;
    /// No other VM has granted this share since.
    instant m_granting_since{};
    /// Grants before this are not counted individually.
    instant m_counted_since{};
    instant m_last_request_at{};
    limit_window m_window;
    /// Ordered by time of reservation.
    std::vector<reserved_slot> m_reserved;
    /// Ordered by first request.
    std::vector<deferred_program> m_deferred;
    /// Active programs by the hash of their ids.
    std::unordered_map<std::uint64_t, active_program> m_programs;
    program_statistics m_statistics;
    /// Expected calls of the active programs, and when they were summed.
    call_forecast m_forecast{};
    instant m_forecast_at{};
    /// When a call of an active program was last refused.
    instant m_last_refusal_at{};
    /// When ended programs were last removed.
    instant m_last_sweep_at{};
    /// For metrics.
    workspace_counts m_counts;

    friend bool operator==(const limiter_row&, const limiter_row&) = default;
};

/// Returns the maximum grants in one window for an owner of \p share.
[[nodiscard]] double max_in_window(const request_limit& limit, double share,
                                   const limiter_settings& settings);

/// Handles one request for a grant.
/// \param share of the limit that this VM may grant, above 0
/// \param since only this VM has granted this share from then on
/// \param all statistics over the programs of all workspaces
[[nodiscard]] quota_reply
admit_request(limiter_row& row, const quota_request& request, double share,
              instant since, instant now, const limiter_settings& settings,
              program_statistics& all);

/// Takes back an unused grant.
void return_grant(limiter_row& row, const quota_request& request, instant now);

/// Expected calls and call rate of one program: from this workspace's
/// statistics and, while these are few, from those of all workspaces.
struct program_estimate
{
    double m_calls = 0;
    double m_call_rate_per_s = 0;
};
[[nodiscard]] program_estimate
estimate_program(const program_statistics& own, const program_statistics& all,
                 const limiter_settings& settings);

/// Limits of all workspaces at one owner; evicts idle rows above a bound.
class limiter
{
public:
    explicit limiter(limiter_settings settings = {}) : m_settings(settings) {}

    /// Handles a request for a grant or a returned grant.
    /// \param since only this VM has granted this share from then on
    [[nodiscard]] quota_reply handle(const quota_request& request, double share,
                                     instant since, instant now);
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    [[nodiscard]] std::uint64_t count(quota_outcome outcome) const;
    /// Returns each workspace's counts by the hash of its name.
    [[nodiscard]] std::vector<std::pair<std::uint64_t, workspace_counts>>
    counts() const;

private:
    void evict_idle_rows(instant now);

    limiter_settings m_settings;
    program_statistics m_statistics;
    std::unordered_map<std::uint64_t, limiter_row> m_rows;
    std::array<std::uint64_t, 3> m_counts{};
};

} // namespace pepperturn
