// SPDX-License-Identifier: BSL-1.0
#include "support/fleet/platform_store.hpp"

#include "support/fleet/loop.hpp"

#include "pepperturn/base/base64.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace pepperturn::test {

namespace {

using json = nlohmann::json;

http::response<http::string_body> reply(unsigned status, const json& body)
{
    http::response<http::string_body> out(http::int_to_status(status), 11);
    out.set(http::field::content_type, "application/json");
    out.body() = body.dump();
    out.prepare_payload();
    return out;
}

std::string unescaped(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out.push_back(static_cast<char>(
                std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        }
        else
            out.push_back(text[i]);
    }
    return out;
}

std::map<std::string, std::string> query_of(std::string_view target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    while (mark != std::string_view::npos && !target.empty())
    {
        target.remove_prefix(target.find_first_of("?&") + 1);
        const auto part = target.substr(0, target.find('&'));
        const auto equals = part.find('=');
        out[std::string(part.substr(0, equals))] =
            unescaped(part.substr(equals + 1));
        if (target.find('&') == std::string_view::npos)
            break;
    }
    return out;
}

} // namespace

platform_store::platform_store(asio::io_context& io)
    : m_io(io),
      m_acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    spawn(m_io, "platform_store.accept",
          accept_all(m_acceptor, [this](tcp::socket socket) {
              auto kept = std::make_shared<tcp::socket>(std::move(socket));
              spawn(m_io, "platform_store.serve", serve(kept, m_connections++));
          }));
}

platform_store::~platform_store() = default;

std::string platform_store::address() const
{
    return to_text(m_acceptor.local_endpoint());
}

std::uint64_t platform_store::put(const std::string& key,
                                  const std::string& value)
{
    auto& row = m_items[key];
    row = {value, ++m_revision, false};
    m_history.emplace_back(key, row);
    changed();
    return m_revision;
}

void platform_store::remove(const std::string& key)
{
    m_items.erase(key);
    m_history.emplace_back(key, item{"", ++m_revision, true});
    changed();
}

std::string platform_store::value_of(const std::string& key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string{} : found->second.m_value;
}

void platform_store::set_down(bool down)
{
    m_down = down;
    changed();
}

void platform_store::compact()
{
    m_history.clear();
    m_oldest = m_revision;
}

void platform_store::changed()
{
    for (const auto& watch : std::set(m_watches))
        watch->notify();
}

task<> platform_store::serve(std::shared_ptr<tcp::socket> socket,
                             std::size_t number)
{
    boost::beast::flat_buffer buffer;
    while (true)
    {
        error_code ec;
        request call;
        co_await http::async_read(*socket, buffer, call, into(ec));
        if (ec)
            co_return;
        ++m_calls;
        auto out = co_await answer(call);
        if (number < m_first_answered)
            continue;
        if (call.method() == http::verb::post &&
            std::exchange(m_lose_answer, false))
        {
            socket->close(ec);
            co_return;
        }
        co_await http::async_write(*socket, out, into(ec));
        if (ec)
            co_return;
    }
}

task<platform_store::response> platform_store::answer(const request& call)
{
    const std::string target(call.target().data(), call.target().size());
    auto query = query_of(target);
    if (m_down)
        co_return reply(503, json::object());
    const auto as_json = [](const std::string& key, const item& row) {
        return json{{"key", key},
                    {"value", to_base64(row.m_value)},
                    {"revision", row.m_revision}};
    };
    if (target.starts_with("/api/kv-key"))
    {
        const auto found = m_items.find(query["key"]);
        if (found == m_items.end())
            co_return reply(404, json::object());
        auto body = as_json(found->first, found->second);
        body["as_of"] = m_revision;
        co_return reply(200, body);
    }
    if (target.starts_with("/api/kv-range"))
    {
        // Two items a page, so that clients have to follow pages.
        constexpr std::size_t page = 2;
        json items = json::array();
        bool more = false;
        for (const auto& [key, row] : m_items)
        {
            if (!key.starts_with(query["path_prefix"]) || key <= query["after"])
                continue;
            if (items.size() == page)
            {
                more = true;
                break;
            }
            items.push_back(as_json(key, row));
        }
        co_return reply(
            200,
            {{"items", items}, {"more_pages", more}, {"as_of", m_revision}});
    }
    if (target.starts_with("/api/kv-watch"))
        co_return co_await answer_watch(std::move(query));
    if (target == "/api/kv-txn")
        co_return answer_write(call);
    co_return reply(404, json::object());
}

task<platform_store::response>
platform_store::answer_watch(std::map<std::string, std::string> query)
{
    const auto after = std::stoull(query["after"]);
    const auto until = std::chrono::time_point_cast<microseconds>(
                           std::chrono::steady_clock::now()) +
                       milliseconds(std::stoll(query["wait_ms"]));
    const auto event = std::make_shared<async_event>(m_io);
    m_watches.insert(event);
    json events = json::array();
    while (true)
    {
        if (m_down || after < m_oldest)
            break;
        for (const auto& [key, row] : m_history)
        {
            if (row.m_revision <= after ||
                !key.starts_with(query["path_prefix"]))
                continue;
            json each{{"key", key}, {"revision", row.m_revision}};
            if (row.m_deleted)
                each["deleted"] = true;
            else
                each["value"] = to_base64(row.m_value);
            events.push_back(each);
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until)
            break;
        co_await event->wait_until(until);
    }
    m_watches.erase(event);
    if (m_down)
        co_return reply(503, json::object());
    if (after < m_oldest)
        co_return reply(410, json::object());
    co_return reply(200, {{"events", events}, {"as_of", m_revision}});
}

platform_store::response platform_store::answer_write(const request& call)
{
    const auto body = json::parse(call.body());
    for (const auto& row : body.at("expected_rev"))
    {
        const auto found = m_items.find(row.at("key").get<std::string>());
        const auto revision =
            found == m_items.end() ? 0 : found->second.m_revision;
        if (revision != row.at("revision").get<std::uint64_t>())
            return reply(412, {{"items", json::array()}});
    }
    for (const auto& row : body.at("puts"))
        put(row.at("key").get<std::string>(),
            *from_base64(row.at("value").get<std::string>()));
    return reply(200, {{"revision", m_revision}});
}

} // namespace pepperturn::test
