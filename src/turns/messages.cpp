// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/turns/messages.hpp"

#include "frame_bodies.hpp"
#include "pepperturn/base/hash.hpp"
#include "wire_rows.hpp"

#include <algorithm>
#include <bit>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace pepperturn {

namespace {

using namespace detail;

constexpr std::uint64_t second_hash_seed = 0x9e3779b97f4a7c15ULL;
constexpr std::size_t length_bytes = 4;

/// The bytes as words; they are copied only if they are not aligned.
kj::Array<const capnp::word> as_words(std::string_view bytes)
{
    const auto size = bytes.size() / sizeof(capnp::word);
    const void* begin = bytes.data();
    if (std::bit_cast<std::uintptr_t>(begin) % alignof(capnp::word) == 0)
        return {static_cast<const capnp::word*>(begin), size,
                kj::NullArrayDisposer::instance};
    auto words = kj::heapArray<capnp::word>(size);
    std::memcpy(words.begin(), bytes.data(), words.asBytes().size());
    return words;
}

capnp::ReaderOptions reader_options()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_frame_bytes;
    return options;
}

/// Runs \p decode over the message in \p bytes. Converts the exceptions of the
/// library to an empty result and \p reason.
template <class Root, class Decode>
auto decode_message(std::string_view bytes, std::string& reason, Decode decode)
    -> decltype(decode(std::declval<typename Root::Reader>()))
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    {
        reason = "length " + std::to_string(bytes.size()) +
                 " is not a multiple of 8 bytes";
        return std::nullopt;
    }
    try
    {
        const auto words = as_words(bytes);
        capnp::FlatArrayMessageReader reader(words, reader_options());
        return decode(reader.getRoot<Root>());
    }
    catch (const kj::Exception& error)
    {
        reason = error.getDescription().cStr();
        return std::nullopt;
    }
}

void put_length(std::string& out, std::size_t length)
{
    for (std::size_t i = 0; i < length_bytes; ++i)
        out.push_back(static_cast<char>(length >> (8 * i) & 0xffU));
}

} // namespace

const char* to_string(frame_status status)
{
    switch (status)
    {
    case frame_status::ok:
        return "ok";
    case frame_status::stale:
        return "stale";
    case frame_status::not_member:
        return "not_member";
    case frame_status::failed:
        return "failed";
    }
    return "unknown";
}

id_key key_of(const std::string& id)
{
    return {hash64(id, second_hash_seed), hash64(id)};
}

std::string encode_frame(const frame& value)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<turns_wire::Frame>();
    root.setCall(value.m_call);
    root.setEpoch(value.m_epoch);
    root.setStatus(static_cast<turns_wire::Status>(value.m_status));
    write_body(root, value.m_body);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    std::string out;
    out.reserve(bytes.size() + length_bytes);
    put_length(out, bytes.size());
    out.append(bytes.begin(), bytes.size());
    return out;
}

std::string encode_accepted_frame(const frame& value, std::string& reason)
{
    auto bytes = encode_frame(value);
    const auto length = bytes.size() - length_bytes;
    if (length <= max_frame_bytes)
        return bytes;
    reason = "kind " + std::to_string(value.m_body.index()) + " has " +
             std::to_string(length) + " bytes";
    return encode_frame({value.m_call, value.m_epoch, frame_status::failed,
                         appended_message{}});
}

std::optional<frame> decode_failed_frame(std::string_view bytes)
{
    std::string ignored;
    return decode_message<turns_wire::Frame>(
        bytes, ignored,
        [](turns_wire::Frame::Reader root) -> std::optional<frame> {
            if (root.getCall() == 0)
                return std::nullopt;
            return frame{root.getCall(), root.getEpoch(), frame_status::failed,
                         appended_message{}};
        });
}

std::optional<frame> decode_frame(std::string_view bytes, std::string& reason)
{
    return decode_message<turns_wire::Frame>(
        bytes, reason,
        [&](turns_wire::Frame::Reader root) -> std::optional<frame> {
            auto body = read_body(root);
            if (!body)
            {
                reason = "unknown kind of frame";
                return std::nullopt;
            }
            return frame{root.getCall(), root.getEpoch(),
                         static_cast<frame_status>(root.getStatus()),
                         std::move(*body)};
        });
}

std::string encode_entry(const log_entry& value)
{
    capnp::MallocMessageBuilder builder;
    fill(builder.initRoot<turns_wire::Entry>(), value);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

std::optional<log_entry> decode_entry(std::string_view bytes,
                                      std::string& reason)
{
    return decode_message<turns_wire::Entry>(
        bytes, reason,
        [](turns_wire::Entry::Reader root) -> std::optional<log_entry> {
            return read(root);
        });
}

} // namespace pepperturn
