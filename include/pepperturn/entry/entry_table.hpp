// SPDX-License-Identifier: BSL-1.0
/// \file
/// The entry VM's side of a call: submits it to the partition's owner, uses
/// the grant once, streams the response to the caller, and reports the result
/// to the owner. Event loop thread only, except for call_sink.
#pragma once

#include "pepperturn/core/events.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pepperturn {

/// The decision is empty if the owner was unreachable or did not reply.
using decision_callback = std::function<void(std::optional<decision>)>;
using report_callback = std::function<void(call_report)>;

/// Receives the response for the caller. Thread-safe.
class call_sink
{
public:
    virtual ~call_sink() = default;
    /// False if the caller has disconnected.
    virtual bool on_token(const std::string& text) = 0;
    virtual void on_answer(const answer& reply) = 0;
    /// Whether tokens are sent to the caller as they arrive.
    [[nodiscard]] virtual bool streams() const = 0;
};

/// The services of the VM that the entry role uses.
class entry_port
{
public:
    virtual ~entry_port() = default;
    [[nodiscard]] virtual instant now() const = 0;
    /// Likely owner of the partition; empty if none is known.
    [[nodiscard]] virtual std::string
    likely_owner(const program_key& key) const = 0;
    [[nodiscard]] virtual bool alive(const std::string& vm) const = 0;
    virtual void submit_to(const std::string& vm,
                           const call_submitted& submitted,
                           decision_callback done) = 0;
    /// Sends the call to the grant's runner. \p on_token receives text as it
    /// arrives, on any thread; \p done receives the report, once, on the loop
    /// thread.
    virtual void send(const grant& permit, const call_request& request,
                      std::function<void(const std::string&)> on_token,
                      report_callback done) = 0;
    /// Requests that the engine stop an attempt.
    virtual void cancel_sent(const grant& permit) = 0;
};

class entry_table
{
public:
    explicit entry_table(entry_port& port);

    void start(const call_request& request, std::shared_ptr<call_sink> sink);
    /// Stops an attempt at the engine, on request of the owner.
    void cancel(const call_id& call, std::uint32_t attempt);
    /// Resubmits calls whose owner is no longer reachable; abandons calls
    /// whose deadline has passed.
    void tick();

    /// State of a call, for operators; empty if this VM does not have it.
    [[nodiscard]] std::string describe(const call_id& call) const;

    [[nodiscard]] std::size_t size() const
    {
        return m_rows.size();
    }

private:
    struct row
    {
        call_request m_request;
        std::shared_ptr<call_sink> m_sink;
        /// Incremented per submission; replies to earlier ones are ignored.
        std::uint32_t m_generation = 0;
        std::string m_target_vm;
        std::string m_owner_hint;
        bool m_waiting = false;
        instant m_retry_at{};
        instant m_deadline{};
        instant m_started{};
        std::optional<call_report> m_report;
        std::optional<grant> m_active;
        /// Bytes may have reached the upstream.
        bool m_sent = false;
    };

    void submit(const call_id& id, row& entry);
    void on_decision(const call_id& id, std::uint32_t generation,
                     const std::optional<decision>& made);
    /// Reports to an owner that its grant is not used, since the call has
    /// ended here.
    void decline_grant(const std::string& vm, const call_request& request,
                       const grant& permit);
    void use_grant(const call_id& id, row& entry, const grant& permit);
    void on_report(const call_id& id, call_report report);
    void finish(const call_id& id, const answer& reply);
    /// This VM was paused for so long that owners may treat it as failed.
    [[nodiscard]] bool was_paused() const;
    void abandon(const call_id& id, row& entry);

    entry_port& m_port;
    instant m_last_tick{};
    std::unordered_map<call_id, row> m_rows;
};

} // namespace pepperturn
