// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/forward/runner_table.hpp"

#include "pepperturn/base/hash.hpp"
#include "pepperturn/scheduling/placement.hpp"

#include <algorithm>
#include <cmath>

namespace pepperturn {

namespace {

/// Weight of a new latency in the smoothed one.
constexpr double latency_weight = 0.15;
/// One answer says no more than this of a runner.
constexpr double most_slowness = 8.0;
/// Weight of a new latency in what is usual on its route: of some dozens.
constexpr double usual_weight = 0.03;
/// Weight of one result in the share that went wrong: four in a row count.
constexpr double result_weight = 0.25;
/// The share fades to a third in this time, in seconds.
constexpr double trouble_memory_s = 5.0;
constexpr milliseconds first_avoidance{300};
constexpr std::uint32_t most_doublings = 4;
constexpr milliseconds full_avoidance{40};

double faded_trouble(const runner_row& row, instant now)
{
    if (row.m_trouble == 0)
        return 0;
    return row.m_trouble *
           std::exp(-to_seconds(now - row.m_trouble_at) / trouble_memory_s);
}

} // namespace

std::vector<std::string>
runner_table::replace(const std::vector<runner_info>& runners)
{
    std::vector<std::string> restarted;
    std::map<std::string, runner_row> next;
    m_by_service.clear();
    m_by_hash.clear();
    for (const auto& info : runners)
    {
        auto& row = next[info.m_id];
        const auto found = m_rows.find(info.m_id);
        const bool known = found != m_rows.end();
        const bool same_life =
            known && found->second.m_info.m_born == info.m_born;
        // What was seen of an earlier life says nothing of this one.
        if (same_life)
            row = std::move(found->second);
        else if (known)
            restarted.push_back(info.m_id);
        row.m_info = info;
        row.m_incarnation = incarnation_of(info);
        row.m_hash = hash64(row.m_incarnation);
        m_by_hash[row.m_hash] = info.m_id;
        m_by_service[info.m_service].push_back(info.m_id);
    }
    m_rows = std::move(next);
    return restarted;
}

runner_row* runner_table::locate(const std::string& id)
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const runner_row* runner_table::find(const std::string& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const runner_row*
runner_table::find_incarnation(const std::string& incarnation) const
{
    return find_hashed(hash64(incarnation));
}

const runner_row* runner_table::find_hashed(std::uint64_t hash) const
{
    const auto found = m_by_hash.find(hash);
    return found == m_by_hash.end() ? nullptr : find(found->second);
}

const runner_row* runner_table::choose(const runner_choice& choice,
                                       instant now) const
{
    const auto listed = m_by_service.find(choice.m_service);
    if (listed == m_by_service.end())
        return nullptr;
    std::vector<const runner_row*> rows;
    std::vector<placement_candidate> candidates;
    for (const auto& id : listed->second)
    {
        const auto& row = m_rows.at(id);
        if (row.m_info.m_draining || choice.m_excluded.contains(id))
            continue;
        placement_candidate out;
        out.m_load = static_cast<double>(row.m_in_flight) / row.m_info.m_slots;
        out.m_other_zone =
            row.m_info.m_availability_zone != choice.m_availability_zone;
        out.m_connected = choice.m_connected && choice.m_connected(id);
        out.m_has_prompt = row.m_incarnation == choice.m_preferred;
        out.m_slowness = row.m_slowness;
        out.m_trouble = faded_trouble(row, now);
        out.m_avoided = row.m_avoid_until > now;
        out.m_draw = hash64(id, choice.m_draw);
        rows.push_back(&row);
        candidates.push_back(out);
    }
    const auto best = choose_placement(candidates);
    return best ? rows[*best] : nullptr;
}

void runner_table::note_sent(const std::string& id)
{
    if (auto* row = locate(id))
        ++row->m_in_flight;
}

void runner_table::note_ended(const std::string& id)
{
    auto* row = locate(id);
    if (row != nullptr && row->m_in_flight > 0)
        --row->m_in_flight;
}

void runner_table::note_first_byte(const std::string& id,
                                   const std::string& route,
                                   milliseconds latency)
{
    auto* row = locate(id);
    if (row == nullptr)
        return;
    row->m_failures = 0;
    // Below a millisecond the clock says nothing.
    const auto value = std::max(1.0, static_cast<double>(latency.count()));
    const auto [usual, is_first] = m_usual_ms.try_emplace(route, value);
    if (!is_first)
        usual->second += usual_weight * (value - usual->second);
    const auto slowness = std::min(value / usual->second, most_slowness);
    row->m_slowness += latency_weight * (slowness - row->m_slowness);
}

milliseconds runner_table::usual_first_byte(const std::string& route) const
{
    const auto found = m_usual_ms.find(route);
    return milliseconds(found == m_usual_ms.end()
                            ? 0
                            : static_cast<std::int64_t>(found->second));
}

void runner_table::note_failure(const std::string& id, instant now)
{
    auto* row = locate(id);
    if (row == nullptr)
        return;
    const auto doublings = std::min(row->m_failures, most_doublings);
    row->m_avoid_until = now + first_avoidance * (1U << doublings);
    ++row->m_failures;
}

void runner_table::note_result(const std::string& id, bool good, instant now)
{
    auto* row = locate(id);
    if (row == nullptr)
        return;
    const double before = faded_trouble(*row, now);
    row->m_trouble = before + result_weight * ((good ? 0.0 : 1.0) - before);
    row->m_trouble_at = now;
}

void runner_table::note_full(const std::string& id, instant now)
{
    if (auto* row = locate(id))
        row->m_avoid_until = std::max(row->m_avoid_until, now + full_avoidance);
}

} // namespace pepperturn
