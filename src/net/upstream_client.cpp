// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/net/upstream_client.hpp"

#include "pepperturn/net/event_splitter.hpp"

#include <cpprest/base_uri.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

using nlohmann::json;

constexpr milliseconds poll_timeout{1000};
constexpr milliseconds order_timeout{3000};

/// A path that the listener has decoded, as a request may hold it.
std::string encoded_path(const std::string& decoded)
{
    if (web::uri::validate(decoded))
        return decoded;
    return web::uri::encode_uri(decoded, web::uri::components::path);
}

std::string attempt_id(const grant& permit)
{
    return permit.m_call + "-" + std::to_string(permit.m_attempt);
}

template <class Number>
std::optional<Number> find_number(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<Number>();
}

void read_usage(const json& chunk, call_report& report)
{
    const auto usage = chunk.find("usage");
    if (usage == chunk.end() || !usage->is_object())
        return;
    const auto prompt = find_number<std::uint32_t>(*usage, "prompt_tokens");
    const auto output = find_number<std::uint32_t>(*usage, "completion_tokens");
    // Half of it bounds nothing.
    if (!prompt || !output)
        return;
    report.m_usage = {*prompt, 0, *output};
    const auto details = usage->find("prompt_tokens_details");
    if (details != usage->end() && details->is_object())
        report.m_usage->m_cached_tokens =
            find_number<std::uint32_t>(*details, "cached_tokens").value_or(0);
}

std::string delta_text(const json& chunk)
{
    const auto choices = chunk.find("choices");
    if (choices == chunk.end() || !choices->is_array() || choices->empty())
        return {};
    const auto& choice = choices->front();
    if (!choice.is_object() || !choice.contains("delta") ||
        !choice["delta"].is_object())
        return {};
    const auto content = choice["delta"].find("content");
    if (content == choice["delta"].end() || !content->is_string())
        return {};
    return *content;
}

/// Reads one attempt's server-sent events.
struct chat_reader
{
    call_report m_report;
    std::uint32_t m_most_tokens = 0;
    std::uint32_t m_seen_tokens = 0;
    bool m_done_marker = false;
    /// Why the answer is not whole, whatever follows; null if nothing says so.
    const char* m_fault = nullptr;
    event_splitter m_events;
    std::function<void(const std::string&)> m_on_token;

    void on_bytes(std::string_view bytes)
    {
        m_events.consume(bytes,
                         [this](const std::string& data) { on_event(data); });
    }

    void on_event(const std::string& data)
    {
        if (m_fault != nullptr || m_done_marker)
            return;
        if (data == "[DONE]")
        {
            m_done_marker = true;
            return;
        }
        const auto chunk = json::parse(data, nullptr, false);
        if (!chunk.is_object())
        {
            m_fault = "an event was not readable";
            return;
        }
        // Engines that fail while they stream say so in an event, and may
        // send the end marker after it.
        const auto error = chunk.find("error");
        if (error != chunk.end() && !error->is_null())
        {
            m_fault = "the engine reported an error while it streamed";
            return;
        }
        read_usage(chunk, m_report);
        const auto text = delta_text(chunk);
        if (text.empty())
            return;
        m_seen_tokens += 1;
        m_report.m_body += text;
        m_on_token(text);
    }

    void finish(const http_result& result)
    {
        m_report.m_status = result.m_status;
        m_report.m_reason = result.m_reason;
        m_report.m_broken_answer = result.m_head_broken;
        const bool error_status =
            result.m_end == transfer_end::complete && result.m_status != 200;
        if (error_status)
        {
            m_report.m_end = attempt_end::complete;
            m_report.m_body = result.m_body;
        }
        else if (m_done_marker)
            m_report.m_end = attempt_end::complete;
        else if (result.m_end == transfer_end::not_sent)
            m_report.m_end = attempt_end::not_sent;
        else
            abort();
    }

    void abort()
    {
        m_report.m_end = attempt_end::aborted;
        m_report.m_no_retry = m_seen_tokens > 0;
        if (m_fault != nullptr)
            m_report.m_reason = m_fault;
        else if (m_report.m_reason.empty())
            m_report.m_reason = m_events.inside_event()
                                    ? "the stream ended inside an event"
                                    : "no end marker";
    }
};

void log_broken_off(const call_report& report)
{
    if (report.m_end != attempt_end::aborted)
        return;
    LOG(WARNING) << "event=answer_broken_off call=" << report.m_call
                 << " attempt=" << report.m_attempt
                 << " runner=" << report.m_runner
                 << " status=" << report.m_status
                 << " body_bytes=" << report.m_body.size() << " reason=\""
                 << report.m_reason << '"';
}

json chat_body(const grant& permit, const std::string& model)
{
    json messages = json::array();
    for (const auto& part : permit.m_prompt)
        messages.push_back(
            {{"role", part.m_role}, {"content", part.m_content}});
    return {{"model", model},
            {"messages", std::move(messages)},
            {"stream", true},
            {"stream_options", {{"include_usage", true}}},
            {"max_tokens", permit.m_max_tokens},
            {"priority", permit.m_priority},
            {"request_id", attempt_id(permit)},
            {"cache_key", permit.m_cache_key}};
}

std::uint64_t number_of(const json& object, const char* key)
{
    return find_number<std::uint64_t>(object, key).value_or(0);
}

std::string text_of(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string{};
}

json parse_ok(const http_result& result)
{
    if (result.m_end != transfer_end::complete || result.m_status != 200)
        return nullptr;
    auto out = json::parse(result.m_body, nullptr, false);
    return out.is_object() ? out : json(nullptr);
}

} // namespace

void send_chat(const grant& permit, const std::string& model,
               std::function<void(const std::string&)> on_token,
               report_callback done)
{
    auto reader = std::make_shared<chat_reader>();
    reader->m_report = report_for(permit);
    reader->m_most_tokens = permit.m_max_tokens;
    reader->m_on_token = std::move(on_token);
    http_fetch request;
    request.m_base_url = permit.m_address;
    request.m_method = "POST";
    request.m_path = "/v1/chat/completions";
    request.m_body = chat_body(permit, model)
                         .dump(-1, ' ', false, json::error_handler_t::replace);
    request.m_timeout = permit.m_timeout;
    fetch_stream(
        request, [reader](std::string_view bytes) { reader->on_bytes(bytes); },
        [reader, done = std::move(done)](const http_result& result) {
            reader->finish(result);
            log_broken_off(reader->m_report);
            done(reader->m_report);
        });
}

void send_service(const grant& permit, const call_request& request,
                  report_callback done)
{
    http_fetch call;
    call.m_base_url = permit.m_address;
    call.m_method = request.m_method;
    call.m_path = encoded_path(request.m_path);
    call.m_body = request.m_body;
    call.m_timeout = permit.m_timeout;
    call.m_fresh_connection = !request.m_repeatable;
    call.m_headers = {{"Idempotency-Key", permit.m_call}};
    fetch(call, [report = report_for(permit),
                 done = std::move(done)](const http_result& result) mutable {
        report.m_status = result.m_status;
        report.m_body = result.m_body;
        report.m_reason = result.m_reason;
        report.m_broken_answer = result.m_head_broken;
        switch (result.m_end)
        {
        case transfer_end::not_sent:
            report.m_end = attempt_end::not_sent;
            break;
        case transfer_end::cut:
            report.m_end = attempt_end::aborted;
            break;
        case transfer_end::complete:
            report.m_end = attempt_end::complete;
            break;
        }
        log_broken_off(report);
        done(std::move(report));
    });
}

void cancel_chat(const grant& permit)
{
    http_fetch request;
    request.m_base_url = permit.m_address;
    request.m_method = "DELETE";
    request.m_path = "/v1/requests/" + attempt_id(permit);
    request.m_timeout = order_timeout;
    fetch(request, [](const http_result&) {});
}

void release_prefix(const release_memory& request,
                    std::function<void(release_completed)> done)
{
    const auto& key = request.m_key;
    http_fetch call;
    call.m_base_url = request.m_address;
    call.m_method = "POST";
    call.m_path = "/v1/cache/release";
    call.m_body = json{{"cache_key_prefix", cache_prefix_of(key)},
                       {"fence", request.m_epoch}}
                      .dump();
    call.m_timeout = order_timeout;
    fetch(call, [runner = request.m_runner, key,
                 done = std::move(done)](const http_result& result) {
        const bool acknowledged =
            result.m_end == transfer_end::complete && result.m_status == 200;
        done({runner, key, acknowledged});
    });
}

void read_load(const runner_info& runner,
               std::function<void(load_reported)> done)
{
    http_fetch request;
    request.m_base_url = runner.m_address;
    request.m_path = "/v1/load";
    request.m_timeout = poll_timeout;
    fetch(request, [name = runner.m_name,
                    done = std::move(done)](const http_result& result) {
        load_reported out;
        out.m_runner = name;
        const auto body = parse_ok(result);
        out.m_reachable = body.is_object();
        if (out.m_reachable)
        {
            out.m_running = number_of(body, "running");
            out.m_queued = number_of(body, "queued");
            out.m_queued_tokens = number_of(body, "queued_tokens");
            out.m_age = milliseconds(number_of(body, "age_ms"));
        }
        done(out);
    });
}

void read_cache_events(const runner_info& runner, std::uint64_t since,
                       std::function<void(cache_news)> done)
{
    http_fetch request;
    request.m_base_url = runner.m_address;
    request.m_path = "/v1/cache/events?since=" + std::to_string(since);
    request.m_timeout = poll_timeout;
    fetch(request, [since, done = std::move(done)](const http_result& result) {
        cache_news out;
        const auto body = parse_ok(result);
        if (body.is_object())
        {
            out.m_answered = true;
            out.m_newest = number_of(body, "newest");
            // A counter that runs backwards is a restarted engine.
            out.m_restarted = out.m_newest < since;
            out.m_gap = out.m_restarted;
            std::uint64_t expected = since + 1;
            for (const auto& entry : body.value("events", json::array()))
            {
                const auto seq = number_of(entry, "seq");
                out.m_gap = out.m_gap || seq != expected;
                expected = seq + 1;
                out.m_evicted.push_back(text_of(entry, "cache_key"));
            }
            out.m_gap = out.m_gap || expected != out.m_newest + 1;
        }
        done(out);
    });
}

void read_platform(const std::string& url,
                   std::function<void(platform_list)> done)
{
    http_fetch request;
    request.m_base_url = url;
    request.m_path = "/v1/vms";
    request.m_timeout = poll_timeout;
    fetch(request, [done = std::move(done)](const http_result& result) {
        platform_list out;
        const auto body = parse_ok(result);
        out.m_answered = body.is_object();
        if (out.m_answered)
        {
            for (const auto& entry : body.value("vms", json::array()))
            {
                if (!entry.is_object())
                    continue;
                vm_info info;
                info.m_id = text_of(entry, "id");
                info.m_address = text_of(entry, "address");
                info.m_availability_zone = text_of(entry, "availability_zone");
                info.m_leaving = text_of(entry, "state") == "leaving";
                if (is_valid_name(info.m_id))
                    out.m_listed.m_vms.push_back(std::move(info));
            }
            for (const auto& name :
                 body.value("leaving_runners", json::array()))
            {
                if (name.is_string())
                    out.m_listed.m_leaving_runners.insert(name);
            }
        }
        done(out);
    });
}

} // namespace pepperturn
