// SPDX-License-Identifier: BSL-1.0
#include "harness.hpp"

#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review {

namespace {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

const char* const digits64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& in)
{
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned value = 0;
        const auto count = std::min<std::size_t>(3, in.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8U |
                    (k < count ? static_cast<unsigned char>(in[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= count ? digits64[value >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

std::string from_base64(const std::string& in)
{
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (const char c : in)
    {
        const char* at = c == '\0' ? nullptr : std::strchr(digits64, c);
        if (at == nullptr)
            break;
        value = value << 6U | static_cast<unsigned>(at - digits64);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(value >> bits & 255U);
        }
    }
    return out;
}

std::string unescape(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return out;
    std::stringstream parts(target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&'))
    {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            out[part.substr(0, equals)] = unescape(part.substr(equals + 1));
    }
    return out;
}

std::string json_answer(unsigned status, const json& body)
{
    const auto text = body.dump();
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace

metadata_store::metadata_store(const std::string& ip, int port)
    : m_server(std::make_unique<server>(
          ip, port, [this](connection& peer) { serve(peer); }))
{}

metadata_store::~metadata_store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_server.reset();
}

void metadata_store::on_write(
    std::function<void(const std::string&, const std::string&)> handler)
{
    m_on_write = std::move(handler);
}

std::uint64_t metadata_store::put_locked(const std::string& key,
                                         const std::string& value)
{
    auto& row = m_items[key];
    const auto created = row.m_created;
    ++m_revision;
    row = {key, value, m_revision, created == 0 ? m_revision : created, false};
    m_history.push_back(row);
    return m_revision;
}

std::uint64_t metadata_store::put(const std::string& key,
                                  const std::string& value)
{
    std::uint64_t revision = 0;
    {
        const std::lock_guard lock(m_mutex);
        revision = put_locked(key, value);
    }
    m_changed.notify_all();
    return revision;
}

void metadata_store::remove(const std::string& key)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.erase(key) == 0)
            return;
        ++m_revision;
        m_history.push_back({key, {}, m_revision, 0, true});
    }
    m_changed.notify_all();
}

std::string metadata_store::value_of(const std::string& key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string{} : found->second.m_value;
}

void metadata_store::serve(connection& peer)
{
    while (true)
    {
        const auto request = peer.read(true, 120000);
        if (!request || !request->m_whole)
            return;
        // An answer takes about 4 ms.
        pause_ms(4);
        if (!peer.write(answer(*request)))
            return;
    }
}

std::string metadata_store::answer(const message& request)
{
    const auto query = query_of(request.m_target);
    const auto path = request.m_target.substr(0, request.m_target.find('?'));
    const auto row_of = [](const item& row) {
        json out{{"key", row.m_key}, {"revision", row.m_revision}};
        if (row.m_deleted)
            out["deleted"] = true;
        else
        {
            out["value"] = to_base64(row.m_value);
            out["created"] = row.m_created;
            out["lease"] = 0;
        }
        return out;
    };
    if (path == "/api/kv-watch")
        return watch(query);
    if (path == "/api/kv-txn")
        return transact(request.m_body);
    const std::lock_guard lock(m_mutex);
    if (path == "/api/kv-key")
    {
        const auto found = m_items.find(query.at("key"));
        if (found == m_items.end())
            return json_answer(404, json::object());
        auto out = row_of(found->second);
        out["as_of"] = m_revision;
        return json_answer(200, out);
    }
    if (path == "/api/kv-range")
    {
        const auto prefix = query.at("path_prefix");
        const auto after = query.contains("after") ? query.at("after") : "";
        json rows = json::array();
        for (const auto& [key, row] : m_items)
        {
            if (key.starts_with(prefix) && (after.empty() || key > after))
                rows.push_back(row_of(row));
        }
        return json_answer(
            200,
            {{"items", rows}, {"more_pages", false}, {"as_of", m_revision}});
    }
    return json_answer(404, json::object());
}

std::string
metadata_store::watch(const std::map<std::string, std::string>& query)
{
    const auto prefix = query.at("path_prefix");
    const auto after = std::stoull(query.at("after"));
    const auto until = steady::now() + std::chrono::milliseconds(
                                           std::stoul(query.at("wait_ms")));
    std::unique_lock lock(m_mutex);
    while (true)
    {
        json rows = json::array();
        for (const auto& row : m_history)
        {
            if (row.m_revision <= after || !row.m_key.starts_with(prefix))
                continue;
            json out{{"key", row.m_key}, {"revision", row.m_revision}};
            if (row.m_deleted)
                out["deleted"] = true;
            else
            {
                out["value"] = to_base64(row.m_value);
                out["created"] = row.m_created;
                out["lease"] = 0;
            }
            rows.push_back(std::move(out));
        }
        if (!rows.empty() || m_stopping || steady::now() >= until)
            return json_answer(200, {{"events", rows}, {"as_of", m_revision}});
        m_changed.wait_until(lock, until);
    }
}

std::string metadata_store::transact(const std::string& body)
{
    const auto root = json::parse(body);
    json result;
    std::vector<std::pair<std::string, std::string>> written;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& row : root.at("expected_rev"))
        {
            const auto key = row.at("key").get<std::string>();
            const auto found = m_items.find(key);
            const auto revision =
                found == m_items.end() ? 0 : found->second.m_revision;
            if (revision != row.at("revision").get<std::uint64_t>())
                return json_answer(412, {{"items", json::array()}});
        }
        for (const auto& row : root.at("puts"))
        {
            const auto key = row.at("key").get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return json_answer(403, json::object());
            const auto value = from_base64(row.at("value").get<std::string>());
            put_locked(key, value);
            written.emplace_back(key, value);
        }
        for (const auto& key : root.at("remove"))
        {
            if (m_items.erase(key.get<std::string>()) > 0)
                m_history.push_back(
                    {key.get<std::string>(), {}, ++m_revision, 0, true});
        }
        result = {{"revision", m_revision}};
    }
    m_changed.notify_all();
    for (const auto& [key, value] : written)
    {
        if (m_on_write)
            m_on_write(key, value);
    }
    return json_answer(200, result);
}

} // namespace review
