// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/config/fleet_settings.hpp"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <fstream>
#include <sstream>

namespace pepperturn {

namespace {

constexpr std::uint32_t most_losses = 16;
constexpr std::uint32_t most_grace_s = 3600;
constexpr std::uint32_t least_bound_ms = 100;
constexpr std::uint32_t most_bound_ms = 3600000;
constexpr std::uint32_t most_quota_slack = 1000000;
constexpr double most_quota_excess = 1;
constexpr double most_cold_excess = 100;
constexpr std::uint32_t most_prompt_tokens = 100000000;
constexpr std::uint32_t most_kept_links = 100000;
constexpr std::uint32_t most_memory_mb = 16U << 20U;
constexpr std::uint32_t most_descriptors = 1U << 30U;

} // namespace

std::optional<fleet_settings>
parse_fleet_settings(const std::string& text, const std::string& source,
                     std::vector<std::string>& errors)
{
    std::string reason;
    const auto document = parse_ini(text, source, reason);
    if (!document)
    {
        errors.push_back(reason);
        return std::nullopt;
    }
    const auto before = errors.size();
    fleet_settings out;
    for (const auto& [name, section] : *document)
    {
        section_reader reader(source, name, section, errors);
        if (name == "vm")
        {
            reader.read("name", out.m_name);
            reader.read("host", out.m_host);
            reader.read("availability_zone", out.m_availability_zone);
            std::string zones;
            if (reader.read("zones", zones))
            {
                const auto fault = parse_zone_map(zones, out.m_zones);
                if (!fault.empty())
                    reader.add_error("zones", fault);
            }
            reader.read("bootstrap", out.m_bootstrap);
            reader.read("grace_s", out.m_grace_s, 1, most_grace_s);
            reader.read("memory_mb", out.m_memory_mb, 0, most_memory_mb);
            reader.read("descriptors", out.m_descriptors, 0, most_descriptors);
        }
        else if (name == "listen")
        {
            reader.read("callers", out.m_callers_address);
            reader.read("ready", out.m_ready_address);
            reader.read("metrics", out.m_metrics_address);
            reader.read("relay", out.m_relay_address);
            reader.read("frames", out.m_frames_address);
            std::string seeds;
            if (reader.read("seeds", seeds) && !seeds.empty())
                boost::algorithm::split(out.m_seeds, seeds,
                                        boost::algorithm::is_any_of(","));
        }
        else if (name == "callers")
            reader.read("connections_per_address",
                        out.m_connections_per_address, 0, most_descriptors);
        else if (name == "storage")
        {
            reader.read("folder", out.m_data_folder);
            reader.read("disk_losses", out.m_disk_losses, 0, most_losses);
        }
        else if (name == "bounds")
        {
            reader.read("revoke_ms", out.m_revoke_ms, least_bound_ms,
                        most_bound_ms);
            reader.read("config_apply_ms", out.m_apply_ms, least_bound_ms,
                        most_bound_ms);
            reader.read("quota_slack", out.m_quota_slack, 0, most_quota_slack);
            reader.read("quota_excess", out.m_quota_excess, 0,
                        most_quota_excess);
            reader.read("cold_excess", out.m_cold_excess, 0, most_cold_excess);
            reader.read("cold_slack", out.m_cold_slack, 0, most_quota_slack);
        }
        else if (name == "placement")
            reader.read("from_shared_tokens", out.m_place_from_tokens, 0,
                        most_prompt_tokens);
        else if (name == "links")
            reader.read("kept", out.m_kept_links, 1, most_kept_links);
        else if (name == "store")
            reader.read("address", out.m_store_address);
        else
        {
            std::string error = source;
            error += ": unknown section [";
            error += name;
            error += ']';
            errors.push_back(std::move(error));
            continue;
        }
        reader.finish();
    }
    for (const auto& [key, value] :
         {std::pair<const char*, const std::string&>{"[vm] name", out.m_name},
          {"[vm] host", out.m_host},
          {"[store] address", out.m_store_address}})
    {
        if (value.empty())
            errors.push_back(source + ": " + key + " is missing");
    }
    if (errors.size() > before)
        return std::nullopt;
    return out;
}

std::optional<fleet_settings>
load_fleet_settings(const std::string& file, std::vector<std::string>& errors)
{
    std::ifstream input(file);
    if (!input)
    {
        errors.push_back(file + ": cannot be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    return parse_fleet_settings(text.str(), file, errors);
}

} // namespace pepperturn
