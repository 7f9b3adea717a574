// SPDX-License-Identifier: BSL-1.0
/// \file
/// Counts the requests of workspaces against this VM's shares of their limits.
///
/// Load pattern: a workspace that begins several times as many programs as
/// its limit bears. Counting requests alone would let all of them begin and
/// break each of them off half done. Here, once the limit is near, a program's
/// first call is let in only if the limit bears it beside the programs under
/// way at the pace at which programs call; their calls are let in while there
/// is anything left. On the virtual clock 172 and 196 programs of the 200 that
/// a limit bears end whole at 2.6 and 7.5 times of it, and none is broken off;
/// by counting requests alone 151 and 130 do, and 207 and 479 are broken off.
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
    /// A grant that was not used comes back; nothing is asked.
    bool m_returned = false;
    /// Longest wait in line for room below the limit, in milliseconds.
    std::uint32_t m_patience_ms = 0;

    friend bool operator==(const quota_question&,
                           const quota_question&) = default;
};

enum class quota_outcome : std::uint8_t
{
    granted,
    /// The limit has nothing left for it.
    over_limit,
    /// This VM owns no share, or what it knows is too old: another may.
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
    /// four fifths of what the operator allows for it (20): owners hold whole
    /// requests, and a third of a small limit holds few. The rest, and the
    /// tenth of the limit that is allowed beside, is for what is sent a little
    /// later than it was granted.
    double m_spare = 16;
    /// Above this share of its bucket a limit is far from being reached, and
    /// programs begin without further question: a bucket is nearly full at six
    /// tenths of the limit and never at all of it.
    double m_ample = 0.95;
    /// Share of a bucket that is kept for programs under way.
    double m_reserve = 0.3;
    /// What is left above the reserve may be spent within this many seconds:
    /// twice as long as programs take.
    double m_spend_s = 8;
    /// Calls a second of a program while none has ended: a turn and a tool or
    /// two within the second.
    double m_usual_pace = 4;

    friend bool operator==(const limiter_settings&,
                           const limiter_settings&) = default;
};

/// A program that has begun.
struct counted_program
{
    std::uint32_t m_calls = 0;
    instant m_first{};
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
    /// Calls of programs that have ended, and the seconds they took; both
    /// fade.
    double m_ended_calls = 0;
    double m_ended_s = 0;
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

/// Calls a second of one program under way, as seen.
[[nodiscard]] double program_pace(const limiter_row& row,
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
