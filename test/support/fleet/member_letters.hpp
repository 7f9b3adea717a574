// SPDX-License-Identifier: BSL-1.0
/// \file
/// Letters for members' states, for texts that tests compare.
#pragma once

#include "pepperturn/cluster/view.hpp"

namespace pepperturn::test {

/// F, J, L or X (lost).
[[nodiscard]] constexpr char letter_of(member_state state)
{
    switch (state)
    {
    case member_state::full:
        return 'F';
    case member_state::joining:
        return 'J';
    case member_state::leaving:
        return 'L';
    case member_state::lost:
        return 'X';
    }
    return '?';
}

} // namespace pepperturn::test
