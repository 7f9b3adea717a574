// SPDX-License-Identifier: BSL-1.0
/// \file
/// A fatal request may end three runners, whatever else happens; and what
/// harmed nobody is served again soon after the runners are.
#include "forward/crash_history.hpp"

using namespace pepperturn;
using namespace pepperturn::test;

TEST_CASE("in no history does a request end four runners, or is what harmed "
          "nobody refused",
          "[crash_histories]")
{
    constexpr unsigned histories = 1000;
    constexpr double least_served = 0.95;
    double unlike = 0;
    double alike = 0;
    for (unsigned seed = 1; seed <= histories; ++seed)
    {
        INFO("seed " << seed);
        history each(seed);
        each.play();
        CHECK(each.most_ends() <= max_runner_ends);
        CHECK(each.runs_beyond() == 0);
        CHECK(each.served_unlike() >= least_served);
        CHECK(each.served_alike() >= least_served);
        unlike += each.served_unlike();
        alike += each.served_alike();
    }
    WARN("served in the mean: unlike " << unlike / histories << ", alike "
                                       << alike / histories);
}
