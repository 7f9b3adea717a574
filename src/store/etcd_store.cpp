// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/store/etcd_store.hpp"

#include "pepperturn/base/base64.hpp"
#include "pepperturn/net/http_client.hpp"

#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

using nlohmann::json;

std::uint64_t read_number(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end())
        return 0;
    if (found->is_number_unsigned())
        return found->get<std::uint64_t>();
    if (found->is_string())
        return std::strtoull(found->get<std::string>().c_str(), nullptr, 10);
    return 0;
}

std::optional<std::vector<kv_entry>> read_entries(const json& range)
{
    std::vector<kv_entry> out;
    const auto list = range.find("kvs");
    if (list == range.end())
        return out;
    for (const auto& item : *list)
    {
        const auto key = from_base64(item.value("key", std::string{}));
        const auto value = from_base64(item.value("value", std::string{}));
        if (!key || !value)
            return std::nullopt;
        out.push_back({*key, *value, read_number(item, "mod_revision")});
    }
    return out;
}

guarded_result read_guarded(const json& reply)
{
    guarded_result out;
    if (reply.value("succeeded", false))
    {
        out.m_status = guarded_status::written;
        if (reply.contains("header"))
            out.m_revision = read_number(reply["header"], "revision");
        return out;
    }
    out.m_status = guarded_status::refused;
    for (const auto& part : reply.value("responses", json::array()))
    {
        if (!part.contains("response_range"))
            continue;
        const auto entries = read_entries(part["response_range"]);
        if (!entries)
            return {};
        if (!entries->empty())
            out.m_existing = entries->front();
    }
    return out;
}

class etcd_store final : public kv_store
{
public:
    etcd_store(const std::string& url, milliseconds timeout)
        : m_url(url), m_timeout(timeout)
    {}

    void put_guarded(std::vector<kv_write> writes, std::vector<kv_guard> guards,
                     std::function<void(guarded_result)> done) override
    {
        json compare = json::array();
        for (const auto& guard : guards)
        {
            compare.push_back(
                {{"target", "MOD"},
                 {"result", "EQUAL"},
                 {"key", to_base64(guard.m_key)},
                 {"mod_revision", std::to_string(guard.m_mod_revision)}});
        }
        json success = json::array();
        for (const auto& write : writes)
        {
            success.push_back({{"request_put",
                                {{"key", to_base64(write.m_key)},
                                 {"value", to_base64(write.m_value)}}}});
        }
        const json look{
            {"request_range", {{"key", to_base64(writes.front().m_key)}}}};
        const json body{{"compare", compare},
                        {"success", success},
                        {"failure", json::array({look})}};
        post("/v3/kv/txn", body,
             [done = std::move(done)](const std::optional<json>& reply) {
                 done(reply ? read_guarded(*reply) : guarded_result{});
             });
    }

    void put(std::string key, std::string value,
             std::function<void(bool)> done) override
    {
        const json body{{"key", to_base64(key)}, {"value", to_base64(value)}};
        post("/v3/kv/put", body,
             [done = std::move(done)](const std::optional<json>& reply) {
                 done(reply.has_value());
             });
    }

    void range(
        std::string from, std::string to, range_order order,
        std::uint32_t limit,
        std::function<void(std::optional<std::vector<kv_entry>>)> done) override
    {
        const json body{{"key", to_base64(from)},
                        {"range_end", to_base64(to)},
                        {"limit", std::to_string(limit)},
                        {"sort_order", order == range_order::descending
                                           ? "DESCEND"
                                           : "ASCEND"},
                        {"sort_target", "KEY"}};
        post("/v3/kv/range", body,
             [done = std::move(done)](const std::optional<json>& reply) {
                 done(reply ? read_entries(*reply) : std::nullopt);
             });
    }

    void remove(std::string from, std::string to,
                std::function<void(bool)> done) override
    {
        const json body{{"key", to_base64(from)}, {"range_end", to_base64(to)}};
        post("/v3/kv/deleterange", body,
             [done = std::move(done)](const std::optional<json>& reply) {
                 done(reply.has_value());
             });
    }

private:
    /// Any failure is "no answer": the write may have taken effect.
    void post(const char* path, const json& body,
              std::function<void(const std::optional<json>&)> done)
    {
        http_fetch request;
        request.m_base_url = m_url;
        request.m_method = "POST";
        request.m_path = path;
        request.m_body = body.dump();
        request.m_timeout = m_timeout;
        fetch(request, [done = std::move(done)](const http_result& result) {
            constexpr int status_ok = 200;
            std::optional<json> reply;
            if (result.m_end == transfer_end::complete &&
                result.m_status == status_ok)
                reply = json::parse(result.m_body, nullptr, false);
            if (reply && !reply->is_object())
                reply.reset();
            done(reply);
        });
    }

    std::string m_url;
    milliseconds m_timeout;
};

} // namespace

std::shared_ptr<kv_store> make_etcd_store(const std::string& url,
                                          milliseconds timeout)
{
    return std::make_shared<etcd_store>(url, timeout);
}

} // namespace pepperturn
