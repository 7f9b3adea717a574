// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/store/log_store.hpp"

#include "pepperturn/codec/wire.hpp"
#include "pepperturn/config/keys.hpp"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

constexpr std::size_t chunk_bytes = 600000;
constexpr std::uint32_t page_entries = 64;

std::string padded(std::uint64_t value, int width)
{
    std::string text = std::to_string(value);
    return std::string(width - std::min<std::size_t>(width, text.size()), '0') +
           text;
}

std::size_t rough_size(const record& entry)
{
    constexpr std::size_t base = 300;
    const auto* ended = std::get_if<ended_record>(&entry);
    if (ended == nullptr)
        return base;
    std::size_t bytes = base + ended->m_answer.m_body.size();
    for (const auto& part : ended->m_messages)
        bytes += part.m_content.size();
    return bytes;
}

std::vector<std::string> encode_chunks(const std::vector<record>& records)
{
    std::vector<std::string> out;
    batch current;
    std::size_t bytes = 0;
    for (const auto& entry : records)
    {
        const auto size = rough_size(entry);
        if (bytes > 0 && bytes + size > chunk_bytes)
        {
            out.push_back(codec::encode_batch(current));
            current.m_records.clear();
            bytes = 0;
        }
        bytes += size;
        current.m_records.push_back(entry);
    }
    out.push_back(codec::encode_batch(current));
    return out;
}

std::uint64_t seq_of(const std::string& key)
{
    return std::stoull(key.substr(key.rfind('/') + 1));
}

} // namespace

std::string end_of_prefix(std::string prefix)
{
    // Keys are ASCII, so the last character can always be raised.
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

struct log_store::read_state
{
    std::uint32_t m_partition = 0;
    log_image m_image;
    std::string m_chunk_prefix;
    std::size_t m_chunks = 0;
};

log_store::log_store(std::shared_ptr<kv_store> store, std::string prefix,
                     std::function<void(event)> emit)
    : m_store(std::move(store)), m_prefix(std::move(prefix)),
      m_emit(std::move(emit)), m_writer(random_hex(8))
{}

std::string log_store::entry_key(std::uint32_t partition,
                                 std::uint64_t seq) const
{
    return m_prefix + "log/" + padded(partition, 4) + "/" + padded(seq, 12);
}

std::string log_store::manifest_key(std::uint32_t partition) const
{
    return m_prefix + "manifest/" + padded(partition, 4);
}

std::string log_store::snapshot_key(std::uint32_t partition,
                                    std::uint64_t covers) const
{
    return m_prefix + "snap/" + padded(partition, 4) + "/" + padded(covers, 12);
}

void log_store::create(const create_entries& request)
{
    std::vector<kv_write> writes;
    std::vector<kv_guard> guards;
    for (const auto& entry : request.m_entries)
    {
        const auto key = entry_key(entry.m_partition, entry.m_seq);
        writes.push_back({key, codec::encode_batch(entry.m_batch)});
        guards.push_back({key, 0});
        guards.push_back(
            {manifest_key(entry.m_partition), entry.m_manifest_revision});
    }
    m_store->put_guarded(std::move(writes), std::move(guards),
                         [this, request](const guarded_result& result) {
                             on_created(request, result);
                         });
}

void log_store::on_created(const create_entries& request,
                           const guarded_result& result)
{
    const auto& entries = request.m_entries;
    if (result.m_status == guarded_status::refused && entries.size() > 1)
    {
        // One partition was fenced; the others must not pay for it.
        for (const auto& entry : entries)
            create({{entry}});
        return;
    }
    for (const auto& entry : entries)
    {
        entry_write_completed answered{
            entry.m_partition, entry.m_seq, create_status::unknown, {}};
        std::string reason;
        if (result.m_status == guarded_status::written)
            answered.m_status = create_status::created;
        else if (result.m_status == guarded_status::refused &&
                 result.m_existing)
        {
            answered.m_status = create_status::exists;
            answered.m_existing =
                codec::decode_batch(result.m_existing->m_value, reason);
        }
        else if (result.m_status == guarded_status::refused)
            answered.m_status = create_status::stale_manifest;
        m_emit(answered);
    }
}

void log_store::read(const read_log& request)
{
    auto reading = std::make_shared<read_state>();
    reading->m_partition = request.m_partition;
    const auto key = manifest_key(request.m_partition);
    m_store->range(key, key + "0", range_order::ascending, 1,
                   [this, reading](std::optional<std::vector<kv_entry>> found) {
                       if (!found)
                       {
                           m_emit(log_read_completed{reading->m_partition, {}});
                           return;
                       }
                       if (found->empty())
                       {
                           read_entries(reading, 1);
                           return;
                       }
                       const auto json = nlohmann::json::parse(
                           found->front().m_value, nullptr, false);
                       if (!json.is_object() || !json.contains("covers") ||
                           !json.contains("chunks") || !json.contains("prefix"))
                       {
                           m_emit(log_read_completed{reading->m_partition, {}});
                           return;
                       }
                       reading->m_image.m_manifest_revision =
                           found->front().m_mod_revision;
                       reading->m_image.m_covers = json["covers"];
                       reading->m_chunks = json["chunks"];
                       reading->m_chunk_prefix = json["prefix"];
                       read_snapshot(reading);
                   });
}

void log_store::read_snapshot(const std::shared_ptr<read_state>& reading)
{
    // One chunk a call keeps an answer within what the store hands out.
    auto next = std::make_shared<std::function<void(std::size_t)>>();
    *next = [this, reading, next](std::size_t index) {
        if (index == reading->m_chunks)
        {
            read_entries(reading, reading->m_image.m_covers + 1);
            *next = {};
            return;
        }
        const auto key = reading->m_chunk_prefix + padded(index, 6);
        m_store->range(
            key, key + "0", range_order::ascending, 1,
            [this, reading, next,
             index](std::optional<std::vector<kv_entry>> found) {
                std::string reason;
                std::optional<batch> chunk;
                if (found && found->size() == 1)
                    chunk = codec::decode_batch(found->front().m_value, reason);
                if (!chunk)
                {
                    // The function holds itself; let go of it.
                    *next = {};
                    m_emit(log_read_completed{reading->m_partition, {}});
                    return;
                }
                auto& records = reading->m_image.m_snapshot;
                records.insert(records.end(), chunk->m_records.begin(),
                               chunk->m_records.end());
                const auto step = *next;
                step(index + 1);
            });
    };
    const auto step = *next;
    step(0);
}

void log_store::read_entries(const std::shared_ptr<read_state>& reading,
                             std::uint64_t from)
{
    const auto begin = entry_key(reading->m_partition, from);
    const auto end = end_of_prefix(m_prefix + "log/" +
                                   padded(reading->m_partition, 4) + "/");
    m_store->range(
        begin, end, range_order::ascending, page_entries,
        [this, reading](std::optional<std::vector<kv_entry>> found) {
            if (!found)
            {
                m_emit(log_read_completed{reading->m_partition, {}});
                return;
            }
            std::uint64_t last = 0;
            for (const auto& entry : *found)
            {
                std::string reason;
                auto value = codec::decode_batch(entry.m_value, reason);
                if (!value)
                {
                    m_emit(log_read_completed{reading->m_partition, {}});
                    return;
                }
                last = seq_of(entry.m_key);
                reading->m_image.m_entries[last] = std::move(*value);
            }
            if (found->size() == page_entries)
                read_entries(reading, last + 1);
            else
                m_emit(log_read_completed{reading->m_partition,
                                          std::move(reading->m_image)});
        });
}

void log_store::write(const write_snapshot& request)
{
    auto chunks = std::make_shared<std::vector<std::string>>(
        encode_chunks(request.m_records));
    write_chunk(chunks, 0, request);
}

void log_store::write_chunk(
    const std::shared_ptr<std::vector<std::string>>& chunks, std::size_t index,
    const write_snapshot& request)
{
    if (index == chunks->size())
    {
        write_manifest(request, index);
        return;
    }
    const auto key = snapshot_key(request.m_partition, request.m_covers) + "-" +
                     m_writer + "/" + padded(index, 6);
    m_store->put(key, std::move(chunks->at(index)),
                 [this, chunks, index, request](bool written) {
                     if (written)
                         write_chunk(chunks, index + 1, request);
                     else
                         m_emit(snapshot_write_completed{
                             request.m_partition, request.m_covers,
                             create_status::unknown, 0});
                 });
}

void log_store::write_manifest(const write_snapshot& request,
                               std::size_t chunks)
{
    const auto key = manifest_key(request.m_partition);
    const nlohmann::json json{
        {"covers", request.m_covers},
        {"chunks", chunks},
        {"prefix", snapshot_key(request.m_partition, request.m_covers) + "-" +
                       m_writer + "/"}};
    const auto text = json.dump();
    m_store->put_guarded(
        {{key, text}}, {{key, request.m_manifest_revision}},
        [emit = m_emit, text, partition = request.m_partition,
         covers = request.m_covers](const guarded_result& result) {
            snapshot_write_completed answered{partition, covers,
                                              create_status::unknown, 0};
            if (result.m_status == guarded_status::written)
            {
                answered.m_status = create_status::created;
                answered.m_manifest_revision = result.m_revision;
            }
            else if (result.m_status == guarded_status::refused)
            {
                const bool ours =
                    result.m_existing && result.m_existing->m_value == text;
                answered.m_status = ours ? create_status::created
                                         : create_status::stale_manifest;
                if (ours)
                    answered.m_manifest_revision =
                        result.m_existing->m_mod_revision;
            }
            emit(answered);
        });
}

void log_store::remove(const delete_entries& request)
{
    const auto ignore = [](bool) {};
    m_store->remove(entry_key(request.m_partition, 0),
                    entry_key(request.m_partition, request.m_through + 1),
                    ignore);
    m_store->remove(snapshot_key(request.m_partition, 0),
                    snapshot_key(request.m_partition, request.m_through),
                    ignore);
}

config_store::config_store(std::shared_ptr<kv_store> store, std::string prefix)
    : m_store(std::move(store)), m_prefix(std::move(prefix) + "config/rev/")
{}

std::string config_store::key_of(std::uint64_t revision) const
{
    return m_prefix + padded(revision, 10);
}

void config_store::read_all(
    std::function<void(std::optional<std::vector<config_revision>>)> done)
{
    m_store->range(
        m_prefix, end_of_prefix(m_prefix), range_order::ascending, 0,
        [done = std::move(done)](std::optional<std::vector<kv_entry>> found) {
            if (!found)
            {
                done(std::nullopt);
                return;
            }
            std::vector<config_revision> out;
            for (const auto& entry : *found)
            {
                std::string reason;
                auto value = decode_revision(entry.m_value, reason);
                if (value)
                    out.push_back(std::move(*value));
            }
            done(std::move(out));
        });
}

void config_store::read_newest(
    std::uint64_t after,
    std::function<void(std::optional<std::optional<config_revision>>)> done)
{
    m_store->range(
        key_of(after + 1), end_of_prefix(m_prefix), range_order::descending, 1,
        [done = std::move(done)](std::optional<std::vector<kv_entry>> found) {
            if (!found)
            {
                done(std::nullopt);
                return;
            }
            std::optional<config_revision> newest;
            std::string reason;
            if (!found->empty())
                newest = decode_revision(found->back().m_value, reason);
            done(std::optional{std::move(newest)});
        });
}

void config_store::put(const config_revision& next,
                       std::function<void(guarded_status)> done)
{
    const auto key = key_of(next.m_revision);
    const auto text = encode_revision(next);
    std::vector<kv_guard> guards{{key, 0}};
    m_store->put_guarded(
        {{key, text}}, guards,
        [this, next, text,
         done = std::move(done)](const guarded_result& result) {
            if (result.m_status == guarded_status::no_answer)
            {
                confirm(next, done);
                return;
            }
            const bool ours =
                result.m_existing && result.m_existing->m_value == text;
            done(ours ? guarded_status::written : result.m_status);
        });
}

void config_store::confirm(const config_revision& next,
                           std::function<void(guarded_status)> done)
{
    const auto key = key_of(next.m_revision);
    m_store->range(key, key + "0", range_order::ascending, 1,
                   [text = encode_revision(next), done = std::move(done)](
                       std::optional<std::vector<kv_entry>> found) {
                       // Absent proves nothing: the write may still be on its
                       // way.
                       if (!found || found->empty())
                           done(guarded_status::no_answer);
                       else
                           done(found->front().m_value == text
                                    ? guarded_status::written
                                    : guarded_status::refused);
                   });
}

} // namespace pepperturn
