// SPDX-License-Identifier: BSL-1.0
/// \file
/// Settings of an edge VM's or a storage VM's process, from its INI file.
#pragma once

#include "pepperturn/base/zone_map.hpp"
#include "pepperturn/config/ini.hpp"

namespace pepperturn {

struct fleet_settings
{
    std::string m_name;
    std::string m_host;
    std::string m_availability_zone;
    /// The region of every zone; empty: there is one region.
    zone_map m_zones;
    /// The whole fleet starts for the first time, with empty disks.
    bool m_bootstrap = false;
    /// IP:PORT for callers; edge VMs only.
    std::string m_callers_address;
    /// IP:PORT for the readiness question; edge VMs only.
    std::string m_ready_address;
    /// IP:PORT where figures are told under /metrics; empty: nowhere.
    std::string m_metrics_address;
    /// IP:PORT for frames; storage VMs only.
    std::string m_frames_address;
    /// IP:PORT where an edge VM passes on what others ask of storage VMs that
    /// they do not hear; empty: it does not, and asks nobody to.
    std::string m_relay_address;
    /// Frame addresses of some storage VMs, by commas; they may be stale.
    std::vector<std::string> m_seeds;
    /// Where turns are kept; storage VMs only.
    std::string m_data_folder;
    /// Disks that may be lost at once without losing anything.
    std::uint32_t m_disk_losses = 1;
    /// IP:PORT of the platform's store.
    std::string m_store_address;
    /// Callers' keys: how long one that was taken away may be used, and how
    /// soon a new one is to be good, in milliseconds.
    std::uint32_t m_revoke_ms = 5000;
    std::uint32_t m_apply_ms = 3000;
    /// Requests that counting over many VMs may let through above a limit.
    std::uint32_t m_quota_slack = 20;
    /// The same, as a share of the limit.
    double m_quota_excess = 0;
    /// Requests that counting over many VMs may send to a cold runner above
    /// what it bears: a factor, and a number.
    double m_cold_excess = 1;
    std::uint32_t m_cold_slack = 0;
    /// A turn whose prompt has a shared part of this many tokens asks a storage
    /// VM for a place at an engine; 0: edge VMs choose by themselves.
    std::uint32_t m_place_from_tokens = 0;
    /// Up to so many storage VMs an edge VM holds a connection to each; beyond,
    /// it connects to those that it asks, and lets go of them again.
    std::uint32_t m_kept_links = 48;
    /// Of the VM, for this process; 0: not told.
    std::uint32_t m_memory_mb = 0;
    /// Descriptors that the process may have open; 0: its own limit.
    std::uint32_t m_descriptors = 0;
    /// Callers' connections from one address at once; 0: as many as in all.
    std::uint32_t m_connections_per_address = 0;
    /// From the order to stop until the process is killed.
    std::uint32_t m_grace_s = 8;

    friend bool operator==(const fleet_settings&,
                           const fleet_settings&) = default;
};

/// Reads and checks \p text; every error is added to \p errors.
[[nodiscard]] std::optional<fleet_settings>
parse_fleet_settings(const std::string& text, const std::string& source,
                     std::vector<std::string>& errors);

/// The same from a file.
[[nodiscard]] std::optional<fleet_settings>
load_fleet_settings(const std::string& file, std::vector<std::string>& errors);

} // namespace pepperturn
