// SPDX-License-Identifier: BSL-1.0
/// \file
/// Bounds the links of a listener whose peers have said nothing so far.
///
/// A VM sends its first frame as soon as it is connected. Whoever else connects
/// would take a descriptor each for as long as it likes, until VMs find none.
#pragma once

#include "pepperturn/cluster/frame_link.hpp"

#include <vector>

namespace pepperturn {

class silent_links
{
public:
    /// \param most links at once that may be silent
    explicit silent_links(std::size_t most) : m_most(most) {}

    /// Adds a link that was just accepted, and closes the one that has been
    /// silent for longest if there are too many.
    void add(const std::shared_ptr<frame_link>& link);
    /// Links that were closed for others.
    [[nodiscard]] std::uint64_t closed() const
    {
        return m_closed;
    }

private:
    std::size_t m_most;
    /// In the order in which they were accepted; some may have been heard
    /// since.
    std::vector<std::weak_ptr<frame_link>> m_links;
    std::uint64_t m_closed = 0;
};

} // namespace pepperturn
