// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/silent_links.hpp"

namespace pepperturn {

void silent_links::add(const std::shared_ptr<frame_link>& link)
{
    std::erase_if(m_links, [](const auto& row) {
        const auto each = row.lock();
        return !each || !each->open() || each->heard();
    });
    m_links.push_back(link);
    if (m_links.size() <= m_most)
        return;
    const auto oldest = m_links.front().lock();
    m_links.erase(m_links.begin());
    ++m_closed;
    oldest->close("silent, and others connect");
}

} // namespace pepperturn
