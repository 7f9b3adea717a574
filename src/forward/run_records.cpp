// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/run_records.hpp"

#include <utility>

namespace pepperturn {

run_record& run_record_table::at(std::uint64_t fingerprint)
{
    const auto known = m_recent.find(fingerprint);
    if (known != m_recent.end())
        return known->second;
    const auto record = find(fingerprint);
    if (m_recent.size() >= max_rows / 2)
        m_older = std::exchange(m_recent, {});
    m_older.erase(fingerprint);
    return m_recent[fingerprint] = record;
}

run_record run_record_table::find(std::uint64_t fingerprint) const
{
    for (const auto* each : {&m_recent, &m_older})
    {
        const auto found = each->find(fingerprint);
        if (found != each->end())
            return found->second;
    }
    return {};
}

} // namespace pepperturn
