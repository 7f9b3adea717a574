// SPDX-License-Identifier: BSL-1.0
// The bodies of frames, and their Cap'n Proto encoding.
#pragma once

#include "pepperturn/turns/messages.hpp"
#include "turns.capnp.h"

#include <optional>

namespace pepperturn::detail {

/// Writes the body to its member of the union.
void write_body(turns_wire::Frame::Builder out, const frame_body& body);
/// Empty: of a kind that this VM does not know.
[[nodiscard]] std::optional<frame_body> read_body(turns_wire::Frame::Reader in);

} // namespace pepperturn::detail
