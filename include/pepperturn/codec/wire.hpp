// SPDX-License-Identifier: BSL-1.0
/// \file
/// Core values to and from their Cap'n Proto form (src/generated).
#pragma once

#include "pepperturn/core/events.hpp"

#include "pepperturn.capnp.h"

namespace pepperturn::codec {

void write(const program_key& value, wire::ProgramKey::Builder out);
void write(const session_key& value, wire::SessionKey::Builder out);
void write(const call_request& value, wire::Request::Builder out);
void write(const decision& value, wire::Decision::Builder out);
void write(const call_report& value, wire::Report::Builder out);
void write(const heartbeat& value, wire::Heartbeat::Builder out);
void write(const batch& value, wire::Batch::Builder out);

[[nodiscard]] program_key read(wire::ProgramKey::Reader in);
[[nodiscard]] session_key read(wire::SessionKey::Reader in);
[[nodiscard]] outcome read_outcome(std::uint8_t value);
[[nodiscard]] call_request read(wire::Request::Reader in);
/// Empty if the union holds a member of a newer version.
[[nodiscard]] std::optional<decision> read(wire::Decision::Reader in);
[[nodiscard]] call_report read(wire::Report::Reader in);
[[nodiscard]] heartbeat read(wire::Heartbeat::Reader in);
/// Empty if a record is of a newer version.
[[nodiscard]] std::optional<batch> read(wire::Batch::Reader in);

/// A log entry as stored: a flat Cap'n Proto message.
[[nodiscard]] std::string encode_batch(const batch& value);
/// Empty, with \p reason set, if \p bytes is not a valid entry.
[[nodiscard]] std::optional<batch> decode_batch(std::string_view bytes,
                                                std::string& reason);

} // namespace pepperturn::codec
