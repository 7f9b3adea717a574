// SPDX-License-Identifier: BSL-1.0
/// \file
/// The HTTP face of a VM: callers' and operators' interfaces.
#pragma once

#include "pepperturn/daemon/node.hpp"
#include "pepperturn/net/http_server.hpp"

namespace pepperturn {

class front
{
public:
    front(const daemon_settings& settings, node& vm);

    /// The HTTP port, or 0 with \p reason set.
    [[nodiscard]] std::uint32_t open(std::string& reason);
    void close();

private:
    using responder_ptr = std::shared_ptr<http_responder>;

    void handle(const http_call& call, const responder_ptr& out);
    void handle_caller(const http_call& call, const responder_ptr& out);
    void handle_operator(const http_call& call, const responder_ptr& out);
    void end_program(const http_call& call, const std::string& workspace,
                     const responder_ptr& out);
    void resolve(const std::string& body, const std::string& workspace,
                 const responder_ptr& out);
    void put_config(const http_call& call, const responder_ptr& out);
    void check_config(const http_call& call, const responder_ptr& out);
    void get_config(const responder_ptr& out);
    void config_history(const responder_ptr& out);

    daemon_settings m_settings;
    node& m_node;
    std::unique_ptr<http_server> m_server;
};

} // namespace pepperturn
