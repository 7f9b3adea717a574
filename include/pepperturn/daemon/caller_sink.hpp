// SPDX-License-Identifier: BSL-1.0
/// \file
/// Replies to callers, in the chat-completions shape or as a service gave
/// them.
#pragma once

#include "pepperturn/entry/entry_table.hpp"
#include "pepperturn/net/http_server.hpp"

namespace pepperturn {

/// \p reply itself, or an unknown outcome in place of one whose status no
/// response can have: other VMs and stored results give what they were given.
[[nodiscard]] answer without_broken_status(answer reply);
/// Headers that every answer carries.
[[nodiscard]] http_headers answer_headers(const answer& reply);
/// A JSON error body for an answer that is not a result.
[[nodiscard]] std::string answer_error(const answer& reply);

[[nodiscard]] std::shared_ptr<call_sink>
make_chat_sink(std::shared_ptr<http_responder> out, std::string model,
               bool stream);
[[nodiscard]] std::shared_ptr<call_sink>
make_service_sink(std::shared_ptr<http_responder> out);

} // namespace pepperturn
