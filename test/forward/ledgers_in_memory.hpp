// SPDX-License-Identifier: BSL-1.0
/// \file
/// A clock that a test sets, and the crash ledgers as a quorum of storage VMs
/// tells them.
#pragma once

#include "pepperturn/forward/crash_guard.hpp"
#include "pepperturn/turns/ledger.hpp"

namespace pepperturn::test {

class virtual_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override
    {
        return m_now;
    }
    instant m_now{};
};

/// The crash ledgers as a quorum of storage VMs tells them.
class ledgers_in_memory
{
public:
    crash_ledger_access access()
    {
        crash_ledger_access out;
        out.m_begin = [this](begin_request request, instant) {
            return begin(std::move(request));
        };
        out.m_read = [this](id_key ledger, instant) { return read(ledger); };
        out.m_settle = [this](const begin_request& row) {
            if (m_available)
                join_ledger(m_ledgers[row.m_program],
                            {{row.m_program, row.m_attempt, 0, true}});
        };
        return out;
    }

    /// Whether a quorum of storage VMs replies.
    bool m_available = true;

private:
    task<begin_result> begin(begin_request request)
    {
        if (!m_available)
            co_return begin_result{};
        auto& ledger = m_ledgers[request.m_program];
        begin_result out;
        out.m_outcome = begin_outcome::granted;
        out.m_unsettled = unsettled_of(ledger, request.m_attempt);
        join_ledger(ledger, {{request.m_program, request.m_attempt,
                              request.m_tokens, false}});
        co_return out;
    }
    task<std::optional<std::vector<reservation>>> read(id_key ledger)
    {
        if (!m_available)
            co_return std::nullopt;
        co_return unsettled_of(m_ledgers[ledger], {});
    }

    std::map<id_key, joint_ledger> m_ledgers;
};

} // namespace pepperturn::test
