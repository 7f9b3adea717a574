// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/config/deployment_file.hpp"

#include "pepperturn/config/ini.hpp"

#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

constexpr const char* source = "config";

void read_scheduler(section_reader& reader, scheduler_limits& out)
{
    std::string routing = "predicted_finish";
    std::string ordering = "attained_service";
    reader.read("routing", routing);
    reader.read("ordering", ordering);
    const std::map<std::string, routing_rule> routings{
        {"predicted_finish", routing_rule::predicted_finish},
        {"round_robin", routing_rule::round_robin},
        {"least_loaded", routing_rule::least_loaded},
        {"session_sticky", routing_rule::session_sticky}};
    if (routings.contains(routing))
        out.m_routing = routings.at(routing);
    else
        reader.add_error("routing", "no such rule: '" + routing + "'");
    if (ordering == "fcfs")
        out.m_ordering = ordering_rule::fcfs;
    else if (ordering != "attained_service")
        reader.add_error("ordering", "no such rule: '" + ordering + "'");
    reader.read("runner_queue", out.m_runner_queue, 0U, 1000U);
    auto step = std::chrono::duration_cast<milliseconds>(out.m_class_step);
    if (reader.read("class_step_ms", step))
        out.m_class_step = std::chrono::duration_cast<seconds>(step);
    reader.read("service_weight", out.m_service_weight, -100.0, 100.0);
    reader.read("recompute_weight", out.m_recompute_weight, 0.0, 1000.0);
    reader.read("max_attempts", out.m_max_attempts, 1U, 10U);
    reader.read("retry_ratio", out.m_retry_ratio, 0.0, 1.0);
    reader.read("seq_window", out.m_seq_window, 1U, 1024U);
    reader.read("gap_timeout_ms", out.m_gap_timeout, 1U);
    reader.read("program_idle_ms", out.m_program_idle, 1U);
    reader.read("max_turns", out.m_max_turns, 1U, 100000U);
    reader.read("block_calls", out.m_block_calls, 1U, 64U);
    reader.read("heartbeat_timeout_ms", out.m_heartbeat_timeout, 100U);
    reader.read("rebalance_delay_ms", out.m_rebalance_delay);
    reader.read("outage_after_ms", out.m_outage_after, 1U);
    reader.read("snapshot_entries", out.m_snapshot_entries, 2U, 100000U);
    reader.read("writes_per_second", out.m_writes_per_second, 1.0, 100000.0);
    reader.read("write_burst", out.m_write_burst, 1.0, 100000.0);
    reader.read("release_retry_ms", out.m_release_retry, 10U);
}

void read_upstream(section_reader& reader, upstream_info& out)
{
    std::string kind = "chat";
    reader.read("kind", kind);
    if (kind == "service")
    {
        out.m_kind = call_kind::service;
        // A plain service's calls may not be repeated unless it says so.
        out.m_repeatable = false;
    }
    else if (kind != "chat")
        reader.add_error("kind",
                         "expected chat or service, got '" + kind + "'");
    reader.read("repeatable", out.m_repeatable);
    reader.read("timeout_ms", out.m_timeout, 1U);
}

void read_runner(section_reader& reader, runner_info& out)
{
    reader.read("upstream", out.m_upstream);
    reader.read("address", out.m_address);
    reader.read("availability_zone", out.m_availability_zone);
    reader.read("slots", out.m_slots, 1U, 4096U);
    reader.read("prefill_rate", out.m_prefill_rate, 1.0, 1e9);
    reader.read("decode_rate", out.m_decode_rate, 0.1, 1e6);
    reader.read("cache_tokens", out.m_cache_tokens);
    reader.read("leaving", out.m_leaving);
    if (!out.m_address.starts_with("http://"))
        reader.add_error("address", "expected http://HOST:PORT, got '" +
                                        out.m_address + "'");
}

void read_workspace(section_reader& reader, workspace_info& out)
{
    reader.read("key_salt", out.m_key_salt);
    reader.read("key_digest", out.m_key_digest);
    reader.read("budget_tokens", out.m_budget_tokens);
    reader.read("max_active", out.m_max_active, 1U, 1000000U);
    reader.read("max_queued", out.m_max_queued, 0U, 1000000U);
    constexpr std::size_t digest_length = 64;
    if (out.m_key_digest.size() != digest_length)
        reader.add_error("key_digest", "expected 64 hexadecimal digits");
}

void read_named(const std::string& kind, const std::string& name,
                section_reader& reader, deployment& out)
{
    if (!is_valid_name(name))
        reader.add_error(name, "not a name of letters, digits, . _ ~ -");
    if (kind == "upstream")
    {
        auto& info = out.m_upstreams[name];
        info.m_name = name;
        read_upstream(reader, info);
        return;
    }
    if (kind == "runner")
    {
        auto& info = out.m_runners[name];
        info.m_name = name;
        read_runner(reader, info);
        return;
    }
    if (kind == "workspace")
    {
        auto& info = out.m_workspaces[name];
        info.m_name = name;
        read_workspace(reader, info);
        return;
    }
    reader.add_error(kind, "unknown kind of section");
}

void check_references(const deployment& value, std::vector<std::string>& errors)
{
    for (const auto& [name, info] : value.m_runners)
    {
        if (!value.m_upstreams.contains(info.m_upstream))
            errors.push_back(std::string(source) + ": [runner " + name +
                             "] upstream: no section [upstream " +
                             info.m_upstream + "]");
    }
}

} // namespace

std::optional<deployment> parse_deployment(const config_revision& revision,
                                           std::vector<std::string>& errors)
{
    std::string reason;
    const auto document = parse_ini(revision.m_config, source, reason);
    if (!document)
    {
        errors.push_back(reason);
        return std::nullopt;
    }
    deployment out;
    out.m_revision = revision.m_revision;
    out.m_policy = revision.m_policy;
    const std::size_t before = errors.size();
    for (const auto& [name, section] : *document)
    {
        section_reader reader(source, name, section, errors);
        const auto space = name.find(' ');
        if (name == "scheduler")
            read_scheduler(reader, out.m_limits);
        else if (space == std::string::npos)
            reader.add_error(name, "unknown section");
        else
            read_named(name.substr(0, space), name.substr(space + 1), reader,
                       out);
        reader.finish();
    }
    check_references(out, errors);
    if (errors.size() != before)
        return std::nullopt;
    return out;
}

std::string encode_revision(const config_revision& value)
{
    const nlohmann::json json{{"revision", value.m_revision},
                              {"config", value.m_config},
                              {"policy", value.m_policy},
                              {"author", value.m_author}};
    return json.dump();
}

std::optional<config_revision> decode_revision(const std::string& text,
                                               std::string& reason)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const bool valid = json.is_object() && json.contains("revision") &&
                       json["revision"].is_number_unsigned() &&
                       json.value("config", nlohmann::json()).is_string() &&
                       json.value("policy", nlohmann::json()).is_string();
    if (!valid)
    {
        reason = "not a configuration revision";
        return std::nullopt;
    }
    config_revision out;
    out.m_revision = json["revision"];
    out.m_config = json["config"];
    out.m_policy = json["policy"];
    if (json.contains("author") && json["author"].is_string())
        out.m_author = json["author"];
    return out;
}

} // namespace pepperturn
