// SPDX-License-Identifier: BSL-1.0
/// \file
/// VM-to-VM calls over Cap'n Proto RPC, on one kj event loop thread.
#pragma once

#include "pepperturn/config/settings.hpp"
#include "pepperturn/core/events.hpp"
#include "pepperturn/entry/entry_table.hpp"

#include <functional>
#include <memory>

namespace pepperturn {

using decision_done = std::function<void(decision)>;
using text_done = std::function<void(std::optional<std::string>)>;

/// What a VM answers to its peers. Called on the loop thread.
class peer_handler
{
public:
    virtual ~peer_handler() = default;
    virtual void on_peer_submit(call_submitted submitted,
                                decision_done done) = 0;
    virtual heartbeat on_peer_heartbeat(const heartbeat& beat) = 0;
    virtual std::string on_peer_query(const std::string& verb,
                                      const std::string& argument) = 0;
    virtual std::string on_peer_config(std::uint64_t after) = 0;
    virtual void on_peer_cancel(const call_id& call, std::uint32_t attempt) = 0;
    virtual void on_peer_end_program(program_end_requested request,
                                     decision_done done) = 0;
    virtual void on_peer_resolve(resolve_requested request,
                                 decision_done done) = 0;
};

/// The loop thread's event loop, RPC server and RPC clients. Every member
/// but post() and stop() is for the loop thread only.
class peer_loop
{
public:
    virtual ~peer_loop() = default;

    /// Runs \p work on the loop thread; from any thread.
    virtual void post(std::function<void()> work) = 0;
    /// Runs \p work on the loop thread after \p delay.
    virtual void after(milliseconds delay, std::function<void()> work) = 0;
    /// Runs until stop(). \p after_each runs after every turn of work.
    virtual void run(std::function<void()> after_each) = 0;
    virtual void stop() = 0;

    /// The RPC port, or 0 with \p reason set.
    virtual std::uint32_t listen(const std::string& host, std::uint32_t port,
                                 peer_handler& handler,
                                 std::string& reason) = 0;

    virtual void submit(const std::string& address,
                        const call_submitted& submitted,
                        decision_callback done) = 0;
    virtual void beat(const std::string& address, const heartbeat& mine,
                      std::function<void(std::optional<heartbeat>)> done) = 0;
    virtual void query(const std::string& address, const std::string& verb,
                       const std::string& argument, text_done done) = 0;
    virtual void fetch_config(const std::string& address, std::uint64_t after,
                              text_done done) = 0;
    virtual void cancel(const std::string& address, const call_id& call,
                        std::uint32_t attempt) = 0;
    virtual void end_program(const std::string& address,
                             const program_end_requested& request,
                             decision_callback done) = 0;
    virtual void resolve(const std::string& address,
                         const resolve_requested& request,
                         decision_callback done) = 0;
    /// Breaks the connection: every call waiting on it ends without answer.
    virtual void disconnect(const std::string& address) = 0;
};

/// Mutual TLS if \p tls names files.
[[nodiscard]] std::unique_ptr<peer_loop> make_peer_loop(const tls_settings& tls,
                                                        std::string& reason);

} // namespace pepperturn
