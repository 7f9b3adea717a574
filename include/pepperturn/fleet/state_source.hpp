// SPDX-License-Identifier: BSL-1.0
/// \file
/// Where a process learns of the world outside the fleet: the platform's
/// store, behind an interface.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/cluster/state.hpp"
#include "pepperturn/forward/routing_config.hpp"
#include "pepperturn/tenancy/freshness.hpp"

#include <functional>

namespace pepperturn {

/// How a change of the view went.
enum class swap_outcome : std::uint8_t
{
    written,
    /// Another view stands there by now.
    conflict,
    /// Not done, or nobody knows; the source tells what stands there later.
    failed
};

struct swap_result
{
    swap_outcome m_outcome = swap_outcome::failed;
    /// Epoch of the view that was written.
    std::uint64_t m_epoch = 0;
    std::string m_reason;
};

/// How fresh a source is, and the configuration that this is about.
struct source_freshness
{
    freshness_bound m_freshness;
    std::uint64_t m_config_revision = 0;

    friend bool operator==(const source_freshness&,
                           const source_freshness&) = default;
};

/// How a source is to stay fresh.
struct freshness_requirement
{
    bool m_required = false;
    /// Since when others are known to be fresh; empty: none is asked.
    std::function<instant()> m_confirmed_elsewhere;
    /// Left to others to ask the store before this source does.
    milliseconds m_stagger{0};
};

class state_source
{
public:
    virtual ~state_source() = default;

    /// Called with everything known whenever something changed.
    virtual void
    on_state(std::function<void(const cluster_state&)> handler) = 0;
    /// Begins to follow, or goes on.
    virtual void start() = 0;
    /// Ends after the call that is under way.
    virtual void pause() = 0;

    /// Until the fleet is founded, only what it has written itself is read:
    /// hundreds of VMs start, and each would read every runner.
    virtual void await_bootstrap() = 0;

    /// Asks the store once for the views of the replica sets, which may be
    /// seconds old; for a VM that knows no storage VM yet.
    [[nodiscard]] virtual task<> read_views() = 0;

    /// Takes what another VM knows, for while the store is out of reach from
    /// here only.
    virtual void merge_remote_state(const cluster_state& news) = 0;
    /// Tells when any other VM last heard the store.
    virtual void record_remote_contact(instant at) = 0;

    /// Tells the storage VMs that start for the first time of \p self.
    [[nodiscard]] virtual task<bool> announce(member self) = 0;
    /// Storage VMs that have announced themselves, as far as this VM follows.
    [[nodiscard]] virtual std::vector<member> announced() const = 0;
    /// When the last of them was heard of.
    [[nodiscard]] virtual instant last_announced() const = 0;
    /// Writes the first views of all replica sets, unless there are any.
    [[nodiscard]] virtual task<swap_result>
    write_initial_views(std::vector<cluster_view> views) = 0;
    /// Asks for \p next in place of its set's view at \p expected.
    [[nodiscard]] virtual task<swap_result>
    swap_view(cluster_view next, std::uint64_t expected) = 0;
    /// Tells the operator how far the emptying of \p vm is.
    [[nodiscard]] virtual task<bool> report_emptying(std::string vm,
                                                     bool completed) = 0;

    /// Asks the store, while this source follows it, how old its news are;
    /// each question is priced.
    virtual void keep_fresh(freshness_requirement need) = 0;
    [[nodiscard]] virtual source_freshness freshness() const = 0;
    /// The store has been read whole at least once.
    [[nodiscard]] virtual bool synced() const = 0;
    /// When the store last answered.
    [[nodiscard]] virtual instant last_contact() const = 0;
    /// It follows the store, or is about to.
    [[nodiscard]] virtual bool running() const = 0;
};

/// Decodes the texts of a cluster_state; empty with a reason if unusable.
struct state_decoders
{
    std::function<std::optional<routing_config>(const std::string& text,
                                                std::string& reason)>
        m_config;
    std::function<std::optional<runner_info>(
        const std::string& id, const std::string& text, std::string& reason)>
        m_runner;
};

} // namespace pepperturn
