// SPDX-License-Identifier: BSL-1.0
/// \file
/// Partition logs, snapshots and configuration revisions as keys of the
/// store. The key layout is in docs/design/log.md.
#pragma once

#include "pepperturn/config/deployment_file.hpp"
#include "pepperturn/store/kv_store.hpp"

#include <memory>

namespace pepperturn {

class log_store
{
public:
    /// \param prefix  of every key
    /// \param emit    takes the answers; called on the store's threads
    log_store(std::shared_ptr<kv_store> store, std::string prefix,
              std::function<void(event)> emit);

    void create(const create_entries& request);
    void read(const read_log& request);
    void write(const write_snapshot& request);
    void remove(const delete_entries& request);

private:
    struct read_state;

    [[nodiscard]] std::string entry_key(std::uint32_t partition,
                                        std::uint64_t seq) const;
    [[nodiscard]] std::string manifest_key(std::uint32_t partition) const;
    [[nodiscard]] std::string snapshot_key(std::uint32_t partition,
                                           std::uint64_t covers) const;
    void on_created(const create_entries& request,
                    const guarded_result& result);
    void read_snapshot(const std::shared_ptr<read_state>& reading);
    void read_entries(const std::shared_ptr<read_state>& reading,
                      std::uint64_t from);
    void write_chunk(const std::shared_ptr<std::vector<std::string>>& chunks,
                     std::size_t index, const write_snapshot& request);
    void write_manifest(const write_snapshot& request, std::size_t chunks);

    std::shared_ptr<kv_store> m_store;
    std::string m_prefix;
    std::function<void(event)> m_emit;
    /// Tells our manifests from another writer's.
    std::string m_writer;
};

/// Configuration revisions, `config/rev/<n>`, created only if absent.
class config_store
{
public:
    config_store(std::shared_ptr<kv_store> store, std::string prefix);

    /// The newest revision above \p after; empty inner optional: none.
    void read_newest(
        std::uint64_t after,
        std::function<void(std::optional<std::optional<config_revision>>)>
            done);
    void read_all(
        std::function<void(std::optional<std::vector<config_revision>>)> done);
    /// Creates revision `expect + 1`. A lost answer is read back. Refused
    /// if another operator was first.
    void put(const config_revision& next,
             std::function<void(guarded_status)> done);

private:
    [[nodiscard]] std::string key_of(std::uint64_t revision) const;
    void confirm(const config_revision& next,
                 std::function<void(guarded_status)> done);

    std::shared_ptr<kv_store> m_store;
    std::string m_prefix;
};

} // namespace pepperturn
