// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/process_limits.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace pepperturn {

std::size_t descriptor_limit(std::size_t setting)
{
    constexpr std::size_t usual_limit = 1024;
    rlimit limit{};
    const std::size_t own = getrlimit(RLIMIT_NOFILE, &limit) == 0
                                ? std::size_t{limit.rlim_cur}
                                : usual_limit;
    return setting == 0 ? own : std::min(setting, own);
}

} // namespace pepperturn
