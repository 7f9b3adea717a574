// SPDX-License-Identifier: BSL-1.0
/// \file
/// kv_store over the JSON gateway of etcd v3, as published in etcd's
/// "gRPC gateway" documentation: keys and values in base64, 64-bit numbers
/// as strings.
#pragma once

#include "pepperturn/store/kv_store.hpp"

#include <memory>

namespace pepperturn {

[[nodiscard]] std::shared_ptr<kv_store> make_etcd_store(const std::string& url,
                                                        milliseconds timeout);

} // namespace pepperturn
