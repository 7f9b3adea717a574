// SPDX-License-Identifier: BSL-1.0
/// \file
/// Time as the rest of the code sees it: a standard time point read from an
/// interface, so that tests and experiments run on a virtual clock.
#pragma once

#include <chrono>

namespace pepperturn {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A monotonic point in time with microsecond resolution.
using instant =
    std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Source of the current time.
class clock
{
public:
    virtual ~clock() = default;
    [[nodiscard]] virtual instant now() const = 0;
};

/// The machine's steady clock.
class system_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override
    {
        return std::chrono::time_point_cast<microseconds>(
            std::chrono::steady_clock::now());
    }
};

/// A clock that moves only when told to.
class manual_clock final : public clock
{
public:
    [[nodiscard]] instant now() const override
    {
        return m_now;
    }
    void advance(microseconds by)
    {
        m_now += by;
    }

private:
    instant m_now{};
};

/// Seconds as a floating-point number, for predictions.
[[nodiscard]] inline double to_seconds(microseconds value)
{
    return std::chrono::duration<double>(value).count();
}

/// Rounds a floating-point number of seconds to whole microseconds.
[[nodiscard]] inline microseconds from_seconds(double value)
{
    return microseconds(static_cast<microseconds::rep>(value * 1e6));
}

[[nodiscard]] inline milliseconds elapsed(instant from, instant to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace pepperturn
