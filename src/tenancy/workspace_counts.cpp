// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/workspace_counts.hpp"

#include <algorithm>
#include <cctype>

namespace pepperturn {

namespace {

constexpr const char* others_name = "other";
/// More than the largest fleet has; names of removed workspaces are kept.
constexpr std::size_t max_names = 4096;

std::uint64_t asked(const named_counts& row)
{
    return row.m_counts.count(workspace_event::asked);
}

std::string metric_name(const std::string& name)
{
    std::string out;
    out.reserve(name.size());
    for (const char c : name)
    {
        const bool plain =
            std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-';
        out += plain ? c : '_';
    }
    return out;
}

void add(workspace_counts& sum, const workspace_counts& more)
{
    for (std::size_t i = 0; i < workspace_event_count; ++i)
        sum.m_counts.at(i) += more.m_counts.at(i);
}

void write_row(std::string& out, const named_counts& row)
{
    for (std::size_t i = 0; i < workspace_event_count; ++i)
    {
        const auto value = row.m_counts.m_counts.at(i);
        if (value == 0)
            continue;
        out += "workspace_" + metric_name(row.m_name) + '_' +
               to_string(static_cast<workspace_event>(i)) + ' ' +
               std::to_string(value) + '\n';
    }
}

} // namespace

const char* to_string(workspace_event event)
{
    switch (event)
    {
    case workspace_event::asked:
        return "asked";
    case workspace_event::served:
        return "served";
    case workspace_event::late:
        return "late";
    case workspace_event::waited:
        return "waited";
    case workspace_event::refused_first_call:
        return "refused_first_call";
    case workspace_event::refused_call:
        return "refused_call";
    case workspace_event::refused_uncounted:
        return "refused_uncounted";
    case workspace_event::refused_otherwise:
        return "refused_otherwise";
    case workspace_event::failed:
        return "failed";
    }
    return "unknown";
}

std::string text_of(std::vector<named_counts> rows)
{
    named_counts others{others_name, {}};
    std::erase_if(rows, [&](const named_counts& row) {
        if (row.m_name != others_name)
            return false;
        add(others.m_counts, row.m_counts);
        return true;
    });
    std::stable_sort(rows.begin(), rows.end(),
                     [](const named_counts& a, const named_counts& b) {
                         return asked(a) > asked(b);
                     });
    std::string out;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        if (i < max_named_workspaces)
            write_row(out, rows[i]);
        else
            add(others.m_counts, rows[i].m_counts);
    }
    write_row(out, others);
    return out;
}

workspace_counts& workspace_totals::counts_of(const std::string& name)
{
    const auto found = m_rows.find(name);
    if (found != m_rows.end())
        return found->second;
    return m_rows[m_rows.size() < max_names ? name : others_name];
}

std::string workspace_totals::text() const
{
    std::vector<named_counts> rows;
    rows.reserve(m_rows.size());
    for (const auto& [name, counts] : m_rows)
        rows.push_back({name, counts});
    return text_of(std::move(rows));
}

} // namespace pepperturn
