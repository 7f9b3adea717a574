// SPDX-License-Identifier: BSL-1.0
// The platform's key-value service in the published form of etcd v3's JSON
// gateway: range, put, deleterange and txn.
#include "pepperturn/base/base64.hpp"
#include "pepperturn/standin/faults.hpp"
#include "pepperturn/standin/servers.hpp"

#include <nlohmann/json.hpp>
#include <thread>

namespace pepperturn::standin {

namespace {

using nlohmann::json;

struct value_row
{
    std::string m_value;
    std::uint64_t m_mod_revision = 0;
    std::uint64_t m_create_revision = 0;
};

std::string decoded(const json& object, const char* key)
{
    return from_base64(object.value(key, std::string{})).value_or("");
}

class store_server final : public stand_in
{
public:
    store_server(std::uint32_t port, std::string& reason)
    {
        http_server_options options;
        options.m_port = port;
        options.m_max_body_bytes = 8U << 20U;
        m_server = open_http_server(
            options,
            [this](const http_call& call,
                   const std::shared_ptr<http_responder>& out) {
                handle(call, out);
            },
            reason);
    }

    [[nodiscard]] std::uint32_t port() const override
    {
        return m_server == nullptr ? 0 : m_server->port();
    }

private:
    void handle(const http_call& call,
                const std::shared_ptr<http_responder>& out)
    {
        if (m_faults.handle(call, out))
            return;
        if (call.m_path == "/standin/counts")
        {
            const std::lock_guard lock(m_mutex);
            out->reply(200, {},
                       json{{"reads", m_reads},
                            {"writes", m_writes},
                            {"keys", m_rows.size()}}
                           .dump());
            return;
        }
        if (m_faults.get("outage") != 0)
        {
            out->reply(503, {}, "{\"error\":\"unavailable\"}");
            return;
        }
        const long latency = m_faults.get("latency_ms");
        if (latency > 0)
            std::this_thread::sleep_for(milliseconds(latency));
        const auto body = json::parse(call.m_body, nullptr, false);
        if (!body.is_object())
        {
            out->reply(400, {}, "{\"error\":\"not an object\"}");
            return;
        }
        json reply;
        bool wrote = false;
        {
            const std::lock_guard lock(m_mutex);
            reply = serve(call.m_path, body, wrote);
        }
        if (reply.is_null())
            out->reply(404, {}, "{\"error\":\"no such path\"}");
        else if (wrote && m_faults.take_one("lose_answers") > 0)
            out->reply(503, {}, "{\"error\":\"answer lost\"}");
        else
            out->reply(200, {}, reply.dump());
    }

    json serve(const std::string& path, const json& body, bool& wrote)
    {
        if (path == "/v3/kv/range")
        {
            m_reads += 1;
            return range(body);
        }
        if (path == "/v3/kv/put")
        {
            m_writes += 1;
            wrote = true;
            m_revision += 1;
            return put(body);
        }
        if (path == "/v3/kv/deleterange")
        {
            m_writes += 1;
            wrote = true;
            return remove(body);
        }
        if (path == "/v3/kv/txn")
        {
            m_writes += 1;
            wrote = true;
            return transact(body);
        }
        return nullptr;
    }

    [[nodiscard]] json header() const
    {
        return {{"revision", std::to_string(m_revision)}};
    }

    json range(const json& body) const
    {
        const auto from = decoded(body, "key");
        const auto to = decoded(body, "range_end");
        const auto limit = std::stoul(body.value("limit", "0"));
        std::vector<std::map<std::string, value_row>::const_iterator> found;
        for (auto row = m_rows.lower_bound(from);
             row != m_rows.end() &&
             (to.empty() ? row->first == from : row->first < to);
             ++row)
            found.push_back(row);
        if (body.value("sort_order", "ASCEND") == "DESCEND")
            std::reverse(found.begin(), found.end());
        json kvs = json::array();
        for (const auto& row : found)
        {
            if (limit != 0 && kvs.size() == limit)
                break;
            kvs.push_back(
                {{"key", to_base64(row->first)},
                 {"value", to_base64(row->second.m_value)},
                 {"mod_revision", std::to_string(row->second.m_mod_revision)},
                 {"create_revision",
                  std::to_string(row->second.m_create_revision)}});
        }
        return {{"header", header()},
                {"kvs", kvs},
                {"count", std::to_string(found.size())}};
    }

    json put(const json& body)
    {
        auto& row = m_rows[decoded(body, "key")];
        row.m_value = decoded(body, "value");
        row.m_mod_revision = m_revision;
        if (row.m_create_revision == 0)
            row.m_create_revision = m_revision;
        return {{"header", header()}};
    }

    json remove(const json& body)
    {
        const auto from = m_rows.lower_bound(decoded(body, "key"));
        const auto to = decoded(body, "range_end");
        auto end = from;
        while (end != m_rows.end() && end->first < to)
            ++end;
        const auto count = std::distance(from, end);
        m_rows.erase(from, end);
        m_revision += 1;
        return {{"header", header()}, {"deleted", std::to_string(count)}};
    }

    [[nodiscard]] bool holds(const json& compare) const
    {
        const auto row = m_rows.find(decoded(compare, "key"));
        const bool present = row != m_rows.end();
        const bool by_create = compare.value("target", "") == "CREATE";
        const auto wanted = std::stoull(
            compare.value(by_create ? "create_revision" : "mod_revision", "0"));
        if (!present)
            return wanted == 0;
        return wanted == (by_create ? row->second.m_create_revision
                                    : row->second.m_mod_revision);
    }

    json transact(const json& body)
    {
        bool succeeded = true;
        for (const auto& compare : body.value("compare", json::array()))
            succeeded = succeeded && holds(compare);
        if (succeeded)
            m_revision += 1;
        json responses = json::array();
        const auto operations =
            body.value(succeeded ? "success" : "failure", json::array());
        for (const auto& operation : operations)
        {
            if (operation.contains("request_put"))
                responses.push_back(
                    {{"response_put", put(operation["request_put"])}});
            else if (operation.contains("request_range"))
                responses.push_back(
                    {{"response_range", range(operation["request_range"])}});
        }
        return {{"header", header()},
                {"succeeded", succeeded},
                {"responses", responses}};
    }

    fault_switches m_faults;
    std::mutex m_mutex;
    std::map<std::string, value_row> m_rows;
    std::uint64_t m_revision = 1;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::unique_ptr<http_server> m_server;
};

} // namespace

std::unique_ptr<stand_in> open_store(std::uint32_t port, std::string& reason)
{
    auto out = std::make_unique<store_server>(port, reason);
    if (out->port() == 0)
        return nullptr;
    return out;
}

} // namespace pepperturn::standin
