// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts the requests of workspaces against this VM's shares of their limits.
///
/// Load pattern: a workspace that begins several times as many programs as
/// its limit bears. Counting requests alone would let all of them begin and
/// break each of them off half done. Here a program's first call is let in
/// only if what is left of the limit bears the whole program beside those
/// under way; their calls are let in while there is anything left.
///
/// Each share is a token bucket. In any span of time it grants no more than
/// its capacity and what it is refilled with, so all shares together no more
/// than `rate x span + burst` and \ref limiter_settings::m_spare. It begins
/// empty, since a VM that starts does not know what it has granted before.
#pragma once

#include "pepperturn/tenancy/workspaces.hpp"

#include "pepperturn/base/time.hpp"

#include <unordered_map>

namespace pepperturn {

/// What is asked of an owner.
struct quota_question
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
    bool m_begins = false;
    /// Until the program should be over.
    std::uint32_t m_program_left_ms = 0;
    /// A grant that was not used comes back; nothing is asked.
    bool m_returned = false;

    friend bool operator==(const quota_question&,
                           const quota_question&) = default;
};

enum class quota_outcome : std::uint8_t
{
    granted,
    /// The limit has nothing left for it.
    over_limit,
    /// This VM owns no share, or may not act on its word: another may.
    not_owner
};

[[nodiscard]] const char* to_string(quota_outcome outcome);

struct quota_answer
{
    quota_outcome m_outcome = quota_outcome::not_owner;
    /// Over the limit: when there is room again.
    std::uint32_t m_retry_ms = 0;

    friend bool operator==(const quota_answer&, const quota_answer&) = default;
};

struct limiter_settings
{
    /// Requests above the limit that counting over many VMs may let through,
    /// half of what the operator allows for it (20): owners hold whole
    /// requests, and what is granted may be sent a little later.
    double m_spare = 10;
    /// Share of a program's time in which the limit must bear what programs
    /// under way still need: they leave about twice the time that they take
    /// unhindered, and on average half of each is still to come.
    double m_horizon = 0.23;
    /// Share of a bucket that is kept for programs under way: what they need
    /// is not known to a call.
    double m_reserve = 0.2;
    /// Requests of a program while none has ended: some turns, each with a
    /// tool or two.
    double m_usual_program = 12;

    friend bool operator==(const limiter_settings&,
                           const limiter_settings&) = default;
};

/// A program that has begun.
struct counted_program
{
    std::uint32_t m_calls = 0;
    instant m_last{};

    friend bool operator==(const counted_program&,
                           const counted_program&) = default;
};

/// One workspace at one owner.
struct limiter_row
{
    request_limit m_limit;
    std::uint64_t m_config_revision = 0;
    double m_share = 0;
    double m_tokens = 0;
    instant m_filled{};
    /// Programs under way, by the hash of their ids.
    std::unordered_map<std::uint64_t, counted_program> m_programs;
    /// Requests of programs that have ended, smoothed; 0: none has.
    double m_program_size = 0;
    /// When a call of a program under way was last refused.
    instant m_cut_at{};
    /// When programs were last looked through for ended ones.
    instant m_swept{};

    friend bool operator==(const limiter_row&, const limiter_row&) = default;
};

/// Counts one question.
/// \param share of the limit that this VM may grant, above 0
[[nodiscard]] quota_answer take_request(limiter_row& row,
                                        const quota_question& question,
                                        double share, instant now,
                                        const limiter_settings& settings);

/// Puts a grant back that was not used.
void return_request(limiter_row& row, const quota_question& question,
                    const limiter_settings& settings);

/// Requests that programs under way are expected to need yet.
[[nodiscard]] double expected_requests(const limiter_row& row,
                                       const limiter_settings& settings);

/// All workspaces at one owner, bounded in number.
class limiter
{
public:
    explicit limiter(limiter_settings settings = {}) : m_settings(settings) {}

    /// \param since this VM grants nothing from before
    [[nodiscard]] quota_answer ask(const quota_question& question, double share,
                                   instant since, instant now);
    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }
    [[nodiscard]] std::uint64_t count(quota_outcome outcome) const;

private:
    void forget_unused(instant now);

    limiter_settings m_settings;
    std::unordered_map<std::uint64_t, limiter_row> m_rows;
    std::array<std::uint64_t, 3> m_counts{};
};

} // namespace pepperturn
