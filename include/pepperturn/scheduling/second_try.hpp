// SPDX-License-Identifier: BSL-1.0
/// \file
/// When a call that may be repeated is tried at a second runner.
///
/// Load pattern: short calls to plain services of which a few in a thousand
/// hang, at a runner whose answers get lost or that stands still, while all
/// others are done within milliseconds. Waiting for a multiple of the route's
/// objective costs such a call many times its work. So the wait follows what
/// answers on the route really take. The first try is cut as the second is
/// sent, and second tries have a budget: when all runners are slow, more
/// tries would only feed the overload.
#pragma once

#include "pepperturn/base/time.hpp"

#include <array>
#include <optional>

namespace pepperturn {

/// How long first bytes have taken lately, in classes; older ones fade.
struct answer_times
{
    /// Each class reaches a fifth further than the one before; the last one
    /// begins above a minute.
    static constexpr std::size_t classes = 64;

    std::array<double, classes> m_weights{};
    double m_sum = 0;

    friend bool operator==(const answer_times&, const answer_times&) = default;
};

[[nodiscard]] answer_times add_answer(answer_times times, milliseconds took);

/// The time within which \p share of the answers came, to a fifth; zero:
/// nothing is known.
[[nodiscard]] milliseconds answer_quantile(const answer_times& times,
                                           double share);

/// The wait for a first byte after which a second runner is tried; empty: too
/// little is known of the route.
[[nodiscard]] std::optional<milliseconds>
second_try_wait(const answer_times& times);

/// Second tries that calls have earned.
struct try_budget
{
    double m_tries = 0;

    friend bool operator==(const try_budget&, const try_budget&) = default;
};

/// A call has been sent for the first time.
[[nodiscard]] try_budget earn_try(try_budget budget);
[[nodiscard]] bool may_try_again(const try_budget& budget);
[[nodiscard]] try_budget spend_try(try_budget budget);
/// A try that was set aside was not needed.
[[nodiscard]] try_budget return_try(try_budget budget);

} // namespace pepperturn
