// SPDX-License-Identifier: BSL-1.0
/// \file
/// The platform's key-value service as this project uses it.
#pragma once

#include "pepperturn/core/events.hpp"

#include <functional>

namespace pepperturn {

struct kv_entry
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_mod_revision = 0;

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

/// Holds while the key's last modification is this one; 0: key is absent.
struct kv_guard
{
    std::string m_key;
    std::uint64_t m_mod_revision = 0;

    friend bool operator==(const kv_guard&, const kv_guard&) = default;
};

struct kv_write
{
    std::string m_key;
    std::string m_value;
};

enum class guarded_status : std::uint8_t
{
    written,
    refused,
    no_answer
};

struct guarded_result
{
    guarded_status m_status = guarded_status::no_answer;
    /// Revision of the write, if it was made.
    std::uint64_t m_revision = 0;
    /// What the key holds, if the write was refused and the key exists.
    std::optional<kv_entry> m_existing;
};

enum class range_order : std::uint8_t
{
    ascending,
    descending
};

/// Asynchronous; callbacks may come on any thread, exactly once.
class kv_store
{
public:
    virtual ~kv_store() = default;

    /// Makes all writes in one transaction if every guard holds. If not, the
    /// result tells what the first write's key holds.
    virtual void put_guarded(std::vector<kv_write> writes,
                             std::vector<kv_guard> guards,
                             std::function<void(guarded_result)> done) = 0;
    virtual void put(std::string key, std::string value,
                     std::function<void(bool)> done) = 0;
    /// Entries of [from, to) in key order, at most \p limit (0: all);
    /// empty optional: no answer.
    virtual void
    range(std::string from, std::string to, range_order order,
          std::uint32_t limit,
          std::function<void(std::optional<std::vector<kv_entry>>)> done) = 0;
    virtual void remove(std::string from, std::string to,
                        std::function<void(bool)> done) = 0;
};

/// The least key that is greater than every key starting with \p prefix.
[[nodiscard]] std::string end_of_prefix(std::string prefix);

} // namespace pepperturn
