// SPDX-License-Identifier: BSL-1.0
/// \file
/// Callers' requests, checked field by field.
#pragma once

#include "pepperturn/config/settings.hpp"
#include "pepperturn/core/deployment.hpp"
#include "pepperturn/net/http_server.hpp"

#include <optional>

namespace pepperturn {

/// What is wrong with a request, for the caller.
struct request_fault
{
    int m_status = 400;
    std::string m_field;
    std::string m_expected;
};

struct parsed_request
{
    call_request m_request;
    bool m_stream = false;
};

/// The workspace that the request's key belongs to.
[[nodiscard]] std::optional<std::string> authenticate(const http_call& call,
                                                      const deployment& config,
                                                      request_fault& fault);

[[nodiscard]] std::optional<parsed_request>
parse_chat(const http_call& call, const std::string& workspace,
           const deployment& config, const caller_settings& limits,
           request_fault& fault);

/// `/v1/services/<upstream>/<path>`.
[[nodiscard]] std::optional<parsed_request>
parse_service(const http_call& call, const std::string& workspace,
              const deployment& config, const caller_settings& limits,
              request_fault& fault);

/// Program from the path, root from Pepperturn-Parent.
[[nodiscard]] std::optional<program_key>
parse_program(const http_call& call, const std::string& workspace,
              const std::string& program, request_fault& fault);

/// The error body that callers get.
[[nodiscard]] std::string fault_body(const request_fault& fault);

} // namespace pepperturn
