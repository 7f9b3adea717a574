// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts the requests of workspaces against this VM's shares of their limits.
///
/// Load pattern: a workspace that begins several times as many programs as
/// its limit bears. Counting requests alone would let all of them begin and
/// break each of them off half done. Here a program's first call is let in
/// only if the window (\ref limit_window) will hold the calls that it is likely
/// to make, beside those of the programs under way. Calls of programs under way
/// are let in while there is any room; where there is none for a moment they
/// take the next place that becomes free, which is told at once: the caller
/// waits, nothing is held here.
///
/// Each VM counts its share of what the operator tolerates, so that all of
/// them together never grant more. A VM that starts does not know what it has
/// granted before and takes it to have been the most allowed.
#pragma once

#include "pepperturn/tenancy/limit_owners.hpp"
#include "pepperturn/tenancy/limit_window.hpp"
#include "pepperturn/tenancy/workspace_counts.hpp"
#include "pepperturn/tenancy/workspaces.hpp"

#include <unordered_map>

namespace pepperturn {

/// What is asked of an owner.
struct quota_request
{
    /// Hash of the workspace's name.
    std::uint64_t m_workspace = 0;
    /// As the asking VM knows it.
    request_limit m_limit;
    /// Of the configuration that says so.
    std::uint64_t m_config_revision = 0;
    /// Hash of the program's id; 0: of none.
    std::uint64_t m_program = 0;
    /// It is the first call of a program.
    bool m_begins_program = false;
    /// A grant that was not used comes back; nothing is asked.
    bool m_is_return = false;
    /// Longest wait for room below the limit, in milliseconds.
    std::uint32_t m_queue_timeout_ms = 0;
    /// Of a grant that comes back: its \ref quota_answer::m_place.
    std::uint32_t m_packed_grant = 0;
    /// Nothing is granted beyond the limit, and one owner has all of it: such
    /// limits are small, and there are many of them.
    bool m_exact = false;

    friend bool operator==(const quota_request&,
                           const quota_request&) = default;
};

/// Among how many owners the limit is divided, where there are as many.
[[nodiscard]] std::size_t owner_count_for(const quota_request& question);

/// The question with a patience of \p longest at most: an owner grants no place
/// in a time when another may grant the same.
[[nodiscard]] quota_request
limit_queue_timeout(quota_request question,
                    std::optional<milliseconds> longest);

enum class quota_outcome : std::uint8_t
{
    granted,
    /// The limit has nothing left for it.
    over_limit,
    /// This VM owns no share, or what it knows is too old: another may.
    not_owner
};

[[nodiscard]] const char* to_string(quota_outcome outcome);

struct quota_reply
{
    quota_outcome m_outcome = quota_outcome::not_owner;
    /// Over the limit: when there is room again, in milliseconds.
    std::uint32_t m_retry_after_ms = 0;
    /// Granted: the place that it has (\ref pack_place).
    std::uint32_t m_packed_grant = 0;

    friend bool operator==(const quota_reply&, const quota_reply&) = default;
};

/// The place of a grant as it goes over the wire: its slot, and how long the
/// request waits until then. Whoever gives it back names it, so that exactly
/// this one is free again.
[[nodiscard]] std::uint32_t pack_grant(std::int64_t slot, milliseconds wait);
[[nodiscard]] milliseconds wait_of_grant(std::uint32_t packed);
/// \param now a slot less than half an hour from it
[[nodiscard]] std::int64_t slot_of_grant(std::uint32_t packed,
                                         std::int64_t now);

struct limiter_settings
{
    /// Requests above the limit that counting over many VMs may let through,
    /// nine tenths of what the operator allows for it (20): owners hold whole
    /// requests, and a third of a small limit holds few. The rest is for what
    /// is not counted here.
    double m_slack = 18;
    /// Share of the limit that is granted above it, three quarters of what
    /// the operator tolerates (a tenth), for the same reasons.
    double m_excess = 0.075;
    /// Share of the window that programs may be expected to fill. More than
    /// all of it: their calls can wait a little for room, and a program that
    /// ends late is worth more than one that never began.
    double m_overcommit = 1.3;
    /// Calls a second of a program while none has ended: a turn and a tool or
    /// two within the second.
    double m_default_call_rate_per_s = 4;
    /// Calls of a program while none has ended.
    double m_default_calls = 16;

    friend bool operator==(const limiter_settings&,
                           const limiter_settings&) = default;
};

/// What is learnt of programs that have ended; fades.
struct program_statistics
{
    double m_programs = 0;
    double m_calls = 0;
    double m_seconds = 0;

    friend bool operator==(const program_statistics&,
                           const program_statistics&) = default;
};

/// Instants at which calls to come are summed up: quarters of the window.
constexpr std::size_t forecast_horizons = 4;
using call_forecast = std::array<double, forecast_horizons>;

/// A program that has begun.
struct active_program
{
    std::uint32_t m_calls = 0;
    instant m_first_call_at{};
    instant m_last_call_at{};
    /// One of its calls was refused: how it ends says nothing of others.
    bool m_had_refusal = false;

    friend bool operator==(const active_program&,
                           const active_program&) = default;
};

/// A place kept for a call that was refused and told when to come back.
struct reserved_slot
{
    std::uint64_t m_program = 0;
    std::int64_t m_slot = 0;

    friend bool operator==(const reserved_slot&,
                           const reserved_slot&) = default;
};

/// A program that was not begun and told when to come back.
struct deferred_program
{
    std::uint64_t m_program = 0;
    instant m_retry_at{};

    friend bool operator==(const deferred_program&,
                           const deferred_program&) = default;
};

/// One workspace at one owner.
struct limiter_row
{
    request_limit m_limit;
    std::uint64_t m_config_revision = 0;
    double m_share = 0;
    /// Nobody else has granted this share since.
    instant m_granting_since{};
    /// Grants from before this are not counted one by one.
    instant m_counted_since{};
    instant m_last_request_at{};
    limit_window m_window;
    /// In the order in which they were given.
    std::vector<reserved_slot> m_reserved;
    /// In the order in which they asked first.
    std::vector<deferred_program> m_deferred;
    /// Programs under way, by the hash of their ids.
    std::unordered_map<std::uint64_t, active_program> m_programs;
    program_statistics m_statistics;
    /// Calls to come of the programs under way, and when it was summed up.
    call_forecast m_forecast{};
    instant m_forecast_at{};
    /// When a call of a program under way was last refused.
    instant m_last_refusal_at{};
    /// When programs were last looked through for ended ones.
    instant m_last_sweep_at{};
    /// For metrics.
    workspace_counts m_counts;

    friend bool operator==(const limiter_row&, const limiter_row&) = default;
};

/// What one window may hold at an owner of \p share.
[[nodiscard]] double max_in_window(const request_limit& limit, double share,
                                   const limiter_settings& settings);

/// Counts one question.
/// \param share of the limit that this VM may grant, above 0
/// \param since nobody else grants this share from then on
/// \param all what is learnt of the programs of all workspaces
[[nodiscard]] quota_reply
admit_request(limiter_row& row, const quota_request& question, double share,
              instant since, instant now, const limiter_settings& settings,
              program_statistics& all);

/// Puts a grant back that was not used.
void return_grant(limiter_row& row, const quota_request& question, instant now);

/// Calls of one program, and calls a second, as seen of this workspace and,
/// while that is little, of all of them.
struct program_estimate
{
    double m_calls = 0;
    double m_call_rate_per_s = 0;
};
[[nodiscard]] program_estimate
estimate_program(const program_statistics& own, const program_statistics& all,
                 const limiter_settings& settings);

/// All workspaces at one owner, bounded in number.
class limiter
{
public:
    explicit limiter(limiter_settings settings = {}) : m_settings(settings) {}

    /// \param since this VM grants nothing from before
    [[nodiscard]] quota_reply handle(const quota_request& question,
                                     double share, instant since, instant now);
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    [[nodiscard]] std::uint64_t count(quota_outcome outcome) const;
    /// Each workspace's counts, by the hash of its name.
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
