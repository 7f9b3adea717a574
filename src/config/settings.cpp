// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/config/settings.hpp"

#include "pepperturn/core/types.hpp"

#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

namespace pepperturn {

namespace {

constexpr std::uint32_t highest_port = 65535;

void read_section(section_reader& reader, vm_settings& out)
{
    reader.read("id", out.m_id);
    reader.read("availability_zone", out.m_availability_zone);
    reader.read("host", out.m_host);
    reader.read("http_port", out.m_http_port, 0U, highest_port);
    reader.read("rpc_port", out.m_rpc_port, 0U, highest_port);
    reader.read("ports_file", out.m_ports_file);
    reader.read("partitions", out.m_partitions, 1U, 4096U);
    reader.read("http_threads", out.m_http_threads, 2U, 256U);
    reader.read("seed", out.m_seed);
    if (!is_valid_name(out.m_id))
        reader.add_error("id", "expected a name of letters, digits, . _ ~ -");
}

void read_section(section_reader& reader, store_settings& out)
{
    reader.read("url", out.m_url);
    reader.read("prefix", out.m_prefix);
    reader.read("timeout_ms", out.m_timeout, 10U);
    if (!out.m_url.starts_with("http://"))
        reader.add_error("url",
                         "expected http://HOST:PORT, got '" + out.m_url + "'");
}

void read_section(section_reader& reader, platform_settings& out)
{
    reader.read("url", out.m_url);
    reader.read("poll_ms", out.m_poll, 50U);
    if (!out.m_url.starts_with("http://"))
        reader.add_error("url",
                         "expected http://HOST:PORT, got '" + out.m_url + "'");
}

void read_section(section_reader& reader, timing_settings& out)
{
    reader.read("tick_ms", out.m_tick, 1U);
    reader.read("heartbeat_ms", out.m_heartbeat, 20U);
    reader.read("load_poll_ms", out.m_load_poll, 20U);
    reader.read("config_poll_ms", out.m_config_poll, 100U);
    reader.read("stop_limit_ms", out.m_stop_limit);
}

void read_section(section_reader& reader, caller_settings& out)
{
    reader.read("max_body_bytes", out.m_max_body_bytes, 1024U, 64U << 20U);
    reader.read("max_messages", out.m_max_messages, 1U, 100000U);
    reader.read("default_max_tokens", out.m_default_max_tokens, 1U, 1U << 20U);
    reader.read("most_max_tokens", out.m_most_max_tokens, 1U, 1U << 20U);
    reader.read("default_patience_ms", out.m_default_patience, 1U);
    reader.read("max_unread_bytes", out.m_max_unread_bytes, 4096U);
    reader.read("max_connections", out.m_max_connections, 0U, 1U << 30U);
    reader.read("max_buffered_bytes", out.m_max_buffered_bytes, 1U << 20U);
}

void check_file(section_reader& reader, const char* key,
                const std::string& file)
{
    std::error_code error;
    if (!file.empty() && !std::filesystem::is_regular_file(file, error))
        reader.add_error(key, "no such file: " + file);
}

void read_section(section_reader& reader, tls_settings& out)
{
    const std::vector<std::pair<const char*, std::string*>> files{
        {"http_certificate", &out.m_http_certificate},
        {"http_key", &out.m_http_key},
        {"rpc_certificate", &out.m_rpc_certificate},
        {"rpc_key", &out.m_rpc_key},
        {"rpc_authority", &out.m_rpc_authority}};
    for (const auto& [key, target] : files)
    {
        reader.read(key, *target);
        check_file(reader, key, *target);
    }
    if (out.m_http_certificate.empty() != out.m_http_key.empty())
        reader.add_error("http_key", "certificate and key go together");
    const bool all = !out.m_rpc_certificate.empty() && !out.m_rpc_key.empty() &&
                     !out.m_rpc_authority.empty();
    const bool none = out.m_rpc_certificate.empty() && out.m_rpc_key.empty() &&
                      out.m_rpc_authority.empty();
    if (!all && !none)
        reader.add_error("rpc_key",
                         "certificate, key and authority go together");
}

void read_section(section_reader& reader, operator_settings& out)
{
    reader.read("key_salt", out.m_key_salt);
    reader.read("key_digest", out.m_key_digest);
}

void read_section(section_reader& reader, log_settings& out)
{
    reader.read("level", out.m_level, 0U, 2U);
    reader.read("directory", out.m_directory);
}

bool apply_override(ini_document& document, const std::string& text,
                    std::vector<std::string>& errors)
{
    const auto equals = text.find('=');
    const auto dot = text.find('.');
    if (equals == std::string::npos || dot == std::string::npos || dot > equals)
    {
        errors.push_back("--set " + text + ": expected section.key=value");
        return false;
    }
    document[text.substr(0, dot)][text.substr(dot + 1, equals - dot - 1)] =
        text.substr(equals + 1);
    return true;
}

template <class Section>
void read_known(const ini_document& document, const std::string& source,
                const char* name, Section& out,
                std::vector<std::string>& errors)
{
    static const ini_section empty;
    const auto found = document.find(name);
    section_reader reader(
        source, name, found == document.end() ? empty : found->second, errors);
    read_section(reader, out);
    reader.finish();
}

} // namespace

std::optional<daemon_settings>
load_settings(const std::string& file,
              const std::vector<std::string>& overrides,
              std::vector<std::string>& errors)
{
    std::ifstream input(file);
    if (!input)
    {
        errors.push_back(file + ": cannot be read");
        return std::nullopt;
    }
    std::ostringstream text;
    text << input.rdbuf();
    std::string reason;
    auto document = parse_ini(text.str(), file, reason);
    if (!document)
    {
        errors.push_back(reason);
        return std::nullopt;
    }
    for (const auto& entry : overrides)
        apply_override(*document, entry, errors);

    daemon_settings out;
    read_known(*document, file, "vm", out.m_vm, errors);
    read_known(*document, file, "store", out.m_store, errors);
    read_known(*document, file, "platform", out.m_platform, errors);
    read_known(*document, file, "timing", out.m_timing, errors);
    read_known(*document, file, "callers", out.m_callers, errors);
    read_known(*document, file, "tls", out.m_tls, errors);
    read_known(*document, file, "operator", out.m_operator, errors);
    read_known(*document, file, "log", out.m_log, errors);
    const std::set<std::string> known{"vm",      "store", "platform", "timing",
                                      "callers", "tls",   "operator", "log"};
    for (const auto& [name, section] : *document)
    {
        if (!known.contains(name))
        {
            std::string error = file;
            error += ": [";
            error += name;
            error += "]: unknown section";
            errors.push_back(std::move(error));
        }
    }
    if (!errors.empty())
        return std::nullopt;
    return out;
}

} // namespace pepperturn
