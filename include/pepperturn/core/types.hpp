// SPDX-License-Identifier: BSL-1.0
/// \file
/// The values that callers, entry VMs and partition owners exchange.
#pragma once

#include "pepperturn/base/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pepperturn {

/// Outcome of a call. `not_run` is reported only if nobody can send the call
/// any more; if that is uncertain, the outcome is `unknown`.
enum class outcome : std::uint8_t
{
    ran,
    not_run,
    unknown
};

enum class call_kind : std::uint8_t
{
    chat,
    service
};

[[nodiscard]] const char* to_string(outcome value);

/// Unique over all VMs and restarts: made by the entry VM.
using call_id = std::string;

/// A program. Sub-agents name the root program, whose budget they share; for
/// the root itself `m_root == m_program`.
struct program_key
{
    std::string m_workspace;
    std::string m_root;
    std::string m_program;

    // The linter takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const program_key&, const program_key&) = default;
};

struct session_key
{
    program_key m_program;
    std::string m_session;

    // The linter takes the zero of a rewritten comparison for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const session_key&, const session_key&) = default;
};

/// One chat message, as in the chat-completions interface.
struct message
{
    std::string m_role;
    std::string m_content;

    friend bool operator==(const message&, const message&) = default;
};

/// A call as parsed by its entry VM.
struct call_request
{
    call_id m_id;
    std::string m_entry_vm;
    session_key m_session;
    /// Position in the session, from 1; absent: the next free one.
    std::optional<std::uint64_t> m_seq;
    std::string m_idempotency_key;
    call_kind m_kind = call_kind::chat;
    /// Model name or service name.
    std::string m_upstream;
    bool m_repeatable = true;
    std::string m_method;
    std::string m_path;
    std::string m_body;
    /// New messages only; the owner stores the history.
    std::vector<message> m_messages;
    std::uint32_t m_max_tokens = 0;
    /// Maximum wait for the start of the call; after it the call ends as
    /// `not_run`.
    milliseconds m_queue_timeout{0};

    friend bool operator==(const call_request&, const call_request&) = default;
};

/// Digest of the request's content, to detect duplicates of a past `seq`.
[[nodiscard]] std::uint64_t digest_of(const call_request& request);

/// Permission to send one call once, made by the partition's owner and used
/// by the entry VM.
struct grant
{
    call_id m_call;
    std::uint32_t m_attempt = 0;
    std::uint32_t m_partition = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_seq = 0;
    std::string m_runner;
    std::string m_address;
    /// Names the engine memory that the call uses; released with the program.
    std::string m_cache_key;
    std::vector<message> m_prompt;
    std::uint32_t m_max_tokens = 0;
    /// Lower values run first, as engines interpret it.
    std::int64_t m_priority = 0;
    milliseconds m_timeout{0};

    friend bool operator==(const grant&, const grant&) = default;
};

/// Tokens that a chat call used.
struct token_usage
{
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_cached_tokens = 0;
    std::uint32_t m_output_tokens = 0;

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// The final result of a call.
struct answer
{
    call_id m_call;
    outcome m_outcome = outcome::not_run;
    /// HTTP status for the caller.
    std::int32_t m_status = 0;
    std::string m_reason;
    std::string m_body;
    std::string m_runner;
    std::uint64_t m_seq = 0;
    /// Tokens that the call was charged: its bound if the engine stated none.
    std::uint32_t m_prompt_tokens = 0;
    std::uint32_t m_cached_tokens = 0;
    std::uint32_t m_output_tokens = 0;
    /// Sent during a store outage; not yet committed.
    bool m_pending = false;
    /// Suggested delay before a retry; zero: no suggestion.
    milliseconds m_retry_after{0};

    friend bool operator==(const answer&, const answer&) = default;
};

/// Reply of a VM that does not own the partition.
struct redirect
{
    call_id m_call;
    std::uint32_t m_partition = 0;
    /// Empty: not known yet, retry shortly.
    std::string m_owner_vm;

    friend bool operator==(const redirect&, const redirect&) = default;
};

using decision = std::variant<grant, answer, redirect>;

/// How far an attempt progressed.
enum class attempt_end : std::uint8_t
{
    /// No byte left the entry VM.
    not_sent,
    /// Sent, but no complete response arrived.
    aborted,
    /// A complete response with its end marker arrived.
    complete
};

/// An entry VM's report of a grant that it used.
struct call_report
{
    call_id m_call;
    std::uint32_t m_attempt = 0;
    std::uint64_t m_epoch = 0;
    attempt_end m_end = attempt_end::aborted;
    std::int32_t m_status = 0;
    std::string m_body;
    std::string m_runner;
    std::string m_reason;
    /// Absent if the engine did not state it.
    std::optional<token_usage> m_usage;
    /// The caller has received part of the response, so a retry is useless.
    bool m_no_retry = false;
    /// What the runner sent is no answer, so that it is in trouble.
    bool m_broken_answer = false;

    friend bool operator==(const call_report&, const call_report&) = default;
};

/// An initial report for \p permit: aborted, without a response.
[[nodiscard]] call_report report_for(const grant& permit);

/// The program created for a call that named none; it ends with the call.
[[nodiscard]] program_key one_off_program(const std::string& workspace,
                                          const call_id& call);
[[nodiscard]] bool is_one_off(const program_key& key);

/// The partition that orders every call of \p key's root program.
[[nodiscard]] std::uint32_t partition_of(const program_key& key,
                                         std::uint32_t partitions);

/// The name under which engines cache a session's prefix.
[[nodiscard]] std::string cache_key_of(const session_key& key);

/// Common prefix of a program's cache keys. For a root program it covers its
/// sub-agents too, including those that no log records.
[[nodiscard]] std::string cache_prefix_of(const program_key& key);

/// The session whose prefix \p cache_key names; empty if it is malformed.
[[nodiscard]] std::optional<session_key>
parse_cache_key(const std::string& cache_key);

/// True if \p name may be used for programs, sessions and the like: 1 to 128
/// letters, digits and `. _ ~ -`. The separator of cache keys stays unique.
[[nodiscard]] bool is_valid_name(std::string_view name);

/// A call id is `vm.incarnation.number`.
[[nodiscard]] call_id make_call_id(const std::string& vm,
                                   std::uint64_t incarnation,
                                   std::uint64_t number);
/// The entry VM that created the id.
[[nodiscard]] std::string entry_of(const call_id& call);
/// The incarnation of that entry VM; 0 if the id is malformed.
[[nodiscard]] std::uint64_t incarnation_of(const call_id& call);

/// Upper bound on the tokens of a text of \p bytes: tokenizers never produce
/// more tokens than bytes. It holds for any tokenizer, at the cost of some
/// budget headroom.
[[nodiscard]] std::uint32_t token_bound(std::size_t bytes);

} // namespace pepperturn
