// SPDX-License-Identifier: BSL-1.0
/// \file
/// Virtual time: work is done in the order in which it falls due.
#pragma once

#include "pepperturn/base/time.hpp"

#include <functional>
#include <map>

namespace pepperturn {

class timeline
{
public:
    [[nodiscard]] const clock& time() const
    {
        return m_clock;
    }
    [[nodiscard]] instant now() const
    {
        return m_clock.now();
    }

    void after(microseconds delay, std::function<void()> work)
    {
        m_due.emplace(now() + delay, std::move(work));
    }

    void run_for(microseconds duration)
    {
        const auto end = now() + duration;
        while (!m_due.empty() && m_due.begin()->first <= end)
        {
            const auto first = m_due.begin();
            const auto work = std::move(first->second);
            m_clock.advance(first->first - now());
            m_due.erase(first);
            work();
        }
        m_clock.advance(end - now());
    }

private:
    manual_clock m_clock;
    std::multimap<instant, std::function<void()>> m_due;
};

} // namespace pepperturn
