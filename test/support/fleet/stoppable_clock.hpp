// SPDX-License-Identifier: BSL-1.0
/// \file
/// The machine's clock, which a test may stop and advance, so that load on the
/// machine makes nothing late.
#pragma once

#include "pepperturn/base/time.hpp"

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

} // namespace pepperturn::test
