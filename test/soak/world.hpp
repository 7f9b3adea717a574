// SPDX-License-Identifier: BSL-1.0
/// \file
/// What the soak's callers and runners know together, and what must hold.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pepperturn::soak {

/// Tokens in one event of the stand-in engines.
constexpr std::uint32_t tokens_per_event = 3;
/// Begins the body of a request that ends each runner that works on it.
constexpr const char* deadly = "deadly-";
/// Runners that may end under one request.
constexpr std::uint32_t max_ends = 3;

/// Checks the promises from what callers and runners see.
class promises
{
public:
    /// A caller is about to send a turn or a call with this body; nothing: it
    /// goes on from a turn that was broken off, and must not run.
    void expect(const std::string& id, std::optional<std::string> body);
    /// A runner begins to work on it.
    void ran(const std::string& id, const std::string& body);
    /// A runner ends while it works on it.
    /// \param body the same for all tries of the request
    void ended_runner(const std::string& id, const std::string& body);
    /// A request that may end runners ran, and did not end this one.
    void ran_deadly(const std::string& id)
    {
        m_ran.insert(id);
    }
    /// A runner answers it with this text, or breaks off before all of it.
    void answers(const std::string& id, const std::string& text, bool whole);
    /// A caller took this for all of the answer.
    void taken_for_whole(const std::string& id, const std::string& text);
    /// What a runner answered; nothing: it broke off, or has not begun.
    [[nodiscard]] std::optional<std::string>
    whole_answer(const std::string& id) const;
    /// A caller was told that it has not run and will not.
    void told_not_run(const std::string& id, unsigned status);
    /// A caller got this much of a turn.
    void handed_out(const std::string& program, std::uint32_t events);
    void budget(const std::string& program, std::uint64_t tokens,
                std::uint32_t most_of_one_turn);
    void fail(const std::string& what);

    [[nodiscard]] const std::vector<std::string>& broken() const
    {
        return m_broken;
    }
    /// Runners that have ended.
    [[nodiscard]] std::uint32_t ends() const;
    [[nodiscard]] std::size_t runs() const
    {
        return m_ran.size();
    }

private:
    struct ledger
    {
        std::uint64_t m_budget = 0;
        std::uint32_t m_most = 0;
        std::uint64_t m_handed_out = 0;
    };
    std::map<std::string, std::optional<std::string>> m_expected;
    /// Of the runs that began to answer; nothing: broken off.
    std::map<std::string, std::optional<std::string>> m_answers;
    std::set<std::string> m_ran;
    /// By the body of the request.
    std::map<std::string, std::uint32_t> m_ends;
    std::map<std::string, unsigned> m_not_run;
    std::map<std::string, ledger> m_ledgers;
    std::vector<std::string> m_broken;
};

} // namespace pepperturn::soak
