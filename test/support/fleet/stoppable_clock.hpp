// SPDX-License-Identifier: BSL-1.0
/// \file
/// The machine's clock, which a test may stop and advance, so that load on the
/// machine makes nothing late.
#pragma once

#include "pepperturn/base/async.hpp"

#include <functional>
#include <optional>

namespace pepperturn::test {

class stoppable_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override
    {
        return m_stopped_at.value_or(m_real.now());
    }
    void stop_now()
    {
        m_stopped_at = m_real.now();
    }
    /// Only while it is stopped.
    void advance(milliseconds span)
    {
        *m_stopped_at += span;
    }

private:
    system_clock m_real;
    std::optional<instant> m_stopped_at;
};

/// Runs an Asio loop in steps of the stopped clock \p time. Each step handles
/// all that is ready, and takes as long by the machine's clock or longer, so
/// that timers of Asio expire no later by \p time than usual. A machine that
/// leaves the process no processor delays the steps and what they handle alike.
/// \returns false if \p done was not true within \p limit of \p time
inline bool run_in_steps(asio::io_context& io, stoppable_clock& time,
                         const std::function<bool()>& done, milliseconds limit)
{
    constexpr milliseconds step{10};
    const auto end = time.now() + limit;
    while (!done())
    {
        if (time.now() >= end)
            return false;
        const auto step_end = std::chrono::steady_clock::now() + step;
        while (std::chrono::steady_clock::now() < step_end)
        {
            io.restart();
            io.run_one_until(step_end);
        }
        io.restart();
        io.poll();
        time.advance(step);
    }
    return true;
}

} // namespace pepperturn::test
