// SPDX-License-Identifier: BSL-1.0
/// \file
/// Interface to the platform's store, from which a process reads the cluster
/// state and to which it writes views.
#pragma once

#include "pepperturn/base/async.hpp"
#include "pepperturn/cluster/state.hpp"
#include "pepperturn/forward/routing_config.hpp"
#include "pepperturn/tenancy/freshness.hpp"

#include <functional>

namespace pepperturn {

/// Outcome of a compare-and-swap of a view.
enum class swap_outcome : std::uint8_t
{
    written,
    /// The store holds another view by now.
    conflict,
    /// Not written, or unknown; the source reports the stored view later.
    failed
};

struct swap_result
{
    swap_outcome m_outcome = swap_outcome::failed;
    /// Epoch of the view that was written.
    std::uint64_t m_epoch = 0;
    std::string m_reason;
};

/// How fresh a source is, and the configuration revision that this refers to.
struct source_freshness
{
    freshness_bound m_freshness;
    std::uint64_t m_config_revision = 0;

    friend bool operator==(const source_freshness&,
                           const source_freshness&) = default;
};

/// How a source has to confirm that its configuration is fresh.
struct freshness_requirement
{
    bool m_required = false;
    /// When another VM last confirmed the configuration as newest; empty: no
    /// other VM is asked.
    std::function<instant()> m_confirmed_elsewhere;
    /// The store is asked once nobody has confirmed it for this long.
    milliseconds m_max_age{0};
    /// The store is asked while the source does not follow it, too.
    bool m_while_paused = false;
};

class state_source
{
public:
    virtual ~state_source() = default;

    /// Called with the full state whenever something changed.
    virtual void
    on_state(std::function<void(const cluster_state&)> handler) = 0;
    /// Starts to follow the store, or resumes.
    virtual void start() = 0;
    /// Stops following after the call in flight.
    virtual void pause() = 0;

    /// Until the initial views exist, reads only what the fleet itself writes:
    /// with hundreds of VMs starting, each would read every runner.
    virtual void await_bootstrap() = 0;

    /// Reads the replica sets' views from the store once, for a VM that knows
    /// no storage VM yet; they may be seconds old.
    [[nodiscard]] virtual task<> read_views() = 0;

    /// Merges state received from another VM, for the case that the store is
    /// unreachable from this VM only.
    virtual void merge_remote_state(const cluster_state& update) = 0;
    /// Records when any other VM last received an answer from the store.
    virtual void record_remote_contact(instant at) = 0;

    /// Announces \p self to the storage VMs that bootstrap the fleet.
    [[nodiscard]] virtual task<bool> announce(member self) = 0;
    /// Storage VMs that have announced themselves, as far as read here.
    [[nodiscard]] virtual std::vector<member> announced() const = 0;
    /// When the last of these announcements was read.
    [[nodiscard]] virtual instant last_announced() const = 0;
    /// Writes the initial views of all replica sets, unless views exist.
    [[nodiscard]] virtual task<swap_result>
    write_initial_views(std::vector<cluster_view> views) = 0;
    /// Replaces its set's view by \p next if the stored epoch is \p expected.
    [[nodiscard]] virtual task<swap_result>
    swap_view(cluster_view next, std::uint64_t expected) = 0;
    /// Reports to the operator that the emptying of \p vm has begun or
    /// completed.
    [[nodiscard]] virtual task<bool> report_emptying(std::string vm,
                                                     bool completed) = 0;

    /// Queries the store for the configuration whenever it was not confirmed in
    /// time; each query is billed.
    virtual void keep_fresh(freshness_requirement need) = 0;
    [[nodiscard]] virtual source_freshness freshness() const = 0;
    /// The store has been read completely at least once.
    [[nodiscard]] virtual bool synced() const = 0;
    /// When the store last answered.
    [[nodiscard]] virtual instant last_contact() const = 0;
    /// The source follows the store, or is about to.
    [[nodiscard]] virtual bool running() const = 0;
};

/// Decoders of the texts in a cluster_state; each returns nothing and sets the
/// reason if the text is unusable.
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
