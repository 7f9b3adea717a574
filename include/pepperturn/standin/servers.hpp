// SPDX-License-Identifier: BSL-1.0
/// \file
/// Small HTTP stand-ins of what the system meets outside. Each takes its
/// faults over HTTP too: `PUT /standin/faults` with a JSON object; see
/// docs/operations/standins.md for the names.
#pragma once

#include "pepperturn/standin/engine_model.hpp"

#include <memory>
#include <string>

namespace pepperturn::standin {

class stand_in
{
public:
    virtual ~stand_in() = default;
    [[nodiscard]] virtual std::uint32_t port() const = 0;
};

/// A model engine: chat completions with server-sent events.
[[nodiscard]] std::unique_ptr<stand_in> open_engine(std::uint32_t port,
                                                    const engine_limits& limits,
                                                    std::string& reason);

/// The key-value service in the form of etcd v3's JSON gateway.
[[nodiscard]] std::unique_ptr<stand_in> open_store(std::uint32_t port,
                                                   std::string& reason);

/// The platform's lagging list of VMs.
[[nodiscard]] std::unique_ptr<stand_in> open_platform(std::uint32_t port,
                                                      std::string& reason);

/// A plain service that counts what it is asked to do.
[[nodiscard]] std::unique_ptr<stand_in> open_service(std::uint32_t port,
                                                     std::string& reason);

} // namespace pepperturn::standin
