// SPDX-License-Identifier: BSL-1.0
/// \file
/// Settings of one pepperturnd: defaults, then its INI file, then
/// `--set section.key=value` on the command line.
#pragma once

#include "pepperturn/config/ini.hpp"

namespace pepperturn {

struct vm_settings
{
    std::string m_id;
    std::string m_availability_zone = "local";
    std::string m_host = "127.0.0.1";
    std::uint32_t m_http_port = 0;
    std::uint32_t m_rpc_port = 0;
    /// Written once both listeners are open: `http=PORT rpc=PORT`.
    std::string m_ports_file;
    /// Deployment constant: the same on every VM, for ever.
    std::uint32_t m_partitions = 16;
    std::uint32_t m_http_threads = 8;
    std::uint64_t m_seed = 0;
};

struct store_settings
{
    std::string m_url = "http://127.0.0.1:2379";
    std::string m_prefix = "pepperturn/";
    milliseconds m_timeout{1000};
};

struct platform_settings
{
    std::string m_url;
    milliseconds m_poll{1000};
};

struct timing_settings
{
    milliseconds m_tick{50};
    milliseconds m_heartbeat{250};
    milliseconds m_load_poll{500};
    milliseconds m_config_poll{1000};
    /// How long a planned stop waits for calls in flight.
    milliseconds m_stop_limit{120000};
};

struct caller_settings
{
    std::uint64_t m_max_body_bytes = 4U << 20U;
    std::uint32_t m_max_messages = 512;
    std::uint32_t m_default_max_tokens = 512;
    std::uint32_t m_most_max_tokens = 32768;
    milliseconds m_default_patience{30000};
    /// Streamed bytes that a slow caller may leave unread.
    std::uint64_t m_max_unread_bytes = 1U << 20U;
    /// Connections that are open at once; 0: half of the descriptors that the
    /// process may have.
    std::uint32_t m_max_connections = 0;
    /// Bytes of requests that are buffered for all callers together.
    std::uint64_t m_max_buffered_bytes = 256U << 20U;
};

struct tls_settings
{
    /// PEM files. Callers' side: certificate and key.
    std::string m_http_certificate;
    std::string m_http_key;
    /// Between VMs, mutual: certificate, key and the authority of both ends.
    std::string m_rpc_certificate;
    std::string m_rpc_key;
    std::string m_rpc_authority;
};

struct operator_settings
{
    std::string m_key_salt;
    std::string m_key_digest;
};

struct log_settings
{
    /// 0: decisions; 1: warnings; 2: errors only.
    std::uint32_t m_level = 0;
    /// Empty: standard error.
    std::string m_directory;
};

struct daemon_settings
{
    vm_settings m_vm;
    store_settings m_store;
    platform_settings m_platform;
    timing_settings m_timing;
    caller_settings m_callers;
    tls_settings m_tls;
    operator_settings m_operator;
    log_settings m_log;
};

/// Checks everything and reports everything that is wrong in \p errors.
/// \param overrides `section.key=value`, applied over the file
[[nodiscard]] std::optional<daemon_settings>
load_settings(const std::string& file,
              const std::vector<std::string>& overrides,
              std::vector<std::string>& errors);

} // namespace pepperturn
