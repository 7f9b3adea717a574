// SPDX-License-Identifier: BSL-1.0
/// \file
/// The entry VM's side of a call: brings it to the partition's owner, uses
/// the grant once, streams to the caller, and brings the result back. Loop
/// thread only, but for call_sink.
#pragma once

#include "pepperturn/core/events.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace pepperturn {

/// Empty: the owner could not be asked, or did not answer.
using decision_callback = std::function<void(std::optional<decision>)>;
using report_callback = std::function<void(call_report)>;

/// Where the caller's reply goes. Thread-safe.
class call_sink
{
public:
    virtual ~call_sink() = default;
    /// False if the caller is gone.
    virtual bool on_token(const std::string& text) = 0;
    virtual void on_answer(const answer& reply) = 0;
    /// Whether tokens are shown as they come.
    [[nodiscard]] virtual bool streams() const = 0;
};

/// What the entry role needs from its VM.
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
    /// Sends the call to the grant's runner. \p on_token gets text as it
    /// comes, on any thread; \p done the report, once, on the loop thread.
    virtual void send(const grant& permit, const call_request& request,
                      std::function<void(const std::string&)> on_token,
                      report_callback done) = 0;
    /// Asks the engine to stop an attempt.
    virtual void cancel_sent(const grant& permit) = 0;
};

class entry_table
{
public:
    explicit entry_table(entry_port& port);

    void start(const call_request& request, std::shared_ptr<call_sink> sink);
    /// Stops an attempt at the engine, as its owner asks.
    void cancel(const call_id& call, std::uint32_t attempt);
    /// Asks again where an owner is gone; gives up where none was found.
    void tick();

    /// Where a call stands, for operators; empty if it is not here.
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
        /// Answers to earlier questions are ignored.
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
    /// Tells an owner that nobody uses its grant: the call is over here.
    void decline_grant(const std::string& vm, const call_request& request,
                       const grant& permit);
    void use_grant(const call_id& id, row& entry, const grant& permit);
    void on_report(const call_id& id, call_report report);
    void finish(const call_id& id, const answer& reply);
    /// This VM has not run for so long that owners may think it dead.
    [[nodiscard]] bool was_paused() const;
    void abandon(const call_id& id, row& entry);

    entry_port& m_port;
    instant m_last_tick{};
    std::unordered_map<call_id, row> m_rows;
};

} // namespace pepperturn
