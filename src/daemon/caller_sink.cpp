// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/daemon/caller_sink.hpp"

#include "pepperturn/daemon/metrics.hpp"
#include "pepperturn/http/response_status.hpp"

#include <glog/logging.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_gateway = 502;

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool is_result(const answer& reply)
{
    return reply.m_outcome == outcome::ran && reply.m_status >= 200 &&
           reply.m_status < 300;
}

json usage_of(const answer& reply)
{
    return {
        {"prompt_tokens", reply.m_prompt_tokens},
        {"completion_tokens", reply.m_output_tokens},
        {"total_tokens", reply.m_prompt_tokens + reply.m_output_tokens},
        {"prompt_tokens_details", {{"cached_tokens", reply.m_cached_tokens}}}};
}

json extension_of(const answer& reply)
{
    return {{"outcome", to_string(reply.m_outcome)},
            {"call", reply.m_call},
            {"seq", reply.m_seq},
            {"runner", reply.m_runner},
            {"durability", reply.m_pending ? "pending" : "committed"}};
}

class chat_sink final : public call_sink
{
public:
    chat_sink(std::shared_ptr<http_responder> out, std::string model,
              bool stream)
        : m_out(std::move(out)), m_model(std::move(model)), m_stream(stream),
          m_arrived(m_clock.now())
    {}

    bool on_token(const std::string& text) override
    {
        const std::lock_guard lock(m_mutex);
        if (!m_seen_token)
        {
            m_seen_token = true;
            record_timing(timing::first_token, m_clock.now() - m_arrived);
        }
        if (!m_stream || m_gone)
            return !m_gone;
        begin();
        m_gone = !m_out->write("data: " + dump(chunk(text)) + "\n\n");
        m_sent_text += text;
        return !m_gone;
    }

    void on_answer(const answer& received) override
    {
        const auto reply = without_broken_status(received);
        const std::lock_guard lock(m_mutex);
        record_timing(timing::whole_call, m_clock.now() - m_arrived);
        if (!m_stream || (!m_begun && !is_result(reply)))
            answer_whole(reply);
        else
            answer_stream(reply);
    }

    [[nodiscard]] bool streams() const override
    {
        return m_stream;
    }

private:
    void begin()
    {
        if (m_begun)
            return;
        m_begun = true;
        m_out->begin(status_ok, {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-cache"}});
    }

    [[nodiscard]] json chunk(const std::string& text) const
    {
        const json choice{{"index", 0},
                          {"delta", {{"content", text}}},
                          {"finish_reason", nullptr}};
        return {{"object", "chat.completion.chunk"},
                {"model", m_model},
                {"choices", json::array({choice})}};
    }

    void answer_whole(const answer& reply)
    {
        if (!is_result(reply))
        {
            m_out->reply(reply.m_status, answer_headers(reply),
                         answer_error(reply));
            return;
        }
        const json choice{
            {"index", 0},
            {"message", {{"role", "assistant"}, {"content", reply.m_body}}},
            {"finish_reason", "stop"}};
        m_out->reply(status_ok, answer_headers(reply),
                     dump({{"id", reply.m_call},
                           {"object", "chat.completion"},
                           {"model", m_model},
                           {"choices", json::array({choice})},
                           {"usage", usage_of(reply)},
                           {"pepperturn", extension_of(reply)}}));
    }

    void answer_stream(const answer& reply)
    {
        begin();
        if (!is_result(reply))
        {
            break_off(reply, reply.m_reason);
            return;
        }
        if (m_gone)
        {
            break_off(reply, "the caller is gone or left too much unread");
            return;
        }
        // The answer of record may be another attempt's than the one that the
        // caller has seen part of.
        if (!reply.m_body.starts_with(m_sent_text))
        {
            break_off(reply, "the answer on record differs from what was "
                             "streamed; ask again for it");
            return;
        }
        const auto rest = reply.m_body.substr(m_sent_text.size());
        if (!rest.empty() || m_sent_text.empty())
            m_out->write("data: " + dump(chunk(rest)) + "\n\n");
        auto last = chunk({});
        last["id"] = reply.m_call;
        last["choices"][0]["delta"] = json::object();
        last["choices"][0]["finish_reason"] = "stop";
        last["usage"] = usage_of(reply);
        last["pepperturn"] = extension_of(reply);
        m_out->write("data: " + dump(last) + "\n\ndata: [DONE]\n\n");
        m_out->end();
    }

    /// What was sent is not the whole answer: no end marker, and no end of the
    /// framing for callers who go by that.
    void break_off(answer reply, const std::string& reason)
    {
        LOG(WARNING) << "event=caller_stream_broken_off call=" << reply.m_call
                     << " outcome=" << to_string(reply.m_outcome)
                     << " sent_bytes=" << m_sent_text.size() << " reason=\""
                     << reason << '"';
        reply.m_reason = reason;
        m_out->write("data: " + answer_error(reply) + "\n\n");
        m_out->break_off();
    }

    std::mutex m_mutex;
    std::shared_ptr<http_responder> m_out;
    std::string m_model;
    bool m_stream;
    system_clock m_clock;
    instant m_arrived;
    bool m_begun = false;
    bool m_seen_token = false;
    bool m_gone = false;
    std::string m_sent_text;
};

class service_sink final : public call_sink
{
public:
    explicit service_sink(std::shared_ptr<http_responder> out)
        : m_out(std::move(out)), m_arrived(m_clock.now())
    {}

    bool on_token(const std::string&) override
    {
        return true;
    }

    void on_answer(const answer& received) override
    {
        const auto reply = without_broken_status(received);
        record_timing(timing::whole_call, m_clock.now() - m_arrived);
        // What ran is relayed as the service said it, errors included.
        const auto body = reply.m_outcome == outcome::ran ? reply.m_body
                                                          : answer_error(reply);
        m_out->reply(reply.m_status, answer_headers(reply), body);
    }

    [[nodiscard]] bool streams() const override
    {
        return false;
    }

private:
    std::shared_ptr<http_responder> m_out;
    system_clock m_clock;
    instant m_arrived;
};

} // namespace

answer without_broken_status(answer reply)
{
    if (is_final_status(reply.m_status))
        return reply;
    LOG(WARNING) << "event=answer_status_broken call=" << reply.m_call
                 << " runner=" << reply.m_runner
                 << " status=" << reply.m_status;
    reply.m_reason = "broken status " + std::to_string(reply.m_status);
    reply.m_outcome = outcome::unknown;
    reply.m_status = status_bad_gateway;
    reply.m_body.clear();
    return reply;
}

http_headers answer_headers(const answer& reply)
{
    http_headers out{
        {"Pepperturn-Outcome", to_string(reply.m_outcome)},
        {"Pepperturn-Call", reply.m_call},
        {"Pepperturn-Durability", reply.m_pending ? "pending" : "committed"}};
    if (reply.m_seq != 0)
        out.emplace_back("Pepperturn-Seq", std::to_string(reply.m_seq));
    if (!reply.m_runner.empty())
        out.emplace_back("Pepperturn-Runner", reply.m_runner);
    if (reply.m_retry_after.count() > 0)
    {
        // The header counts whole seconds (RFC 9110, 10.2.3).
        const auto whole = std::chrono::ceil<seconds>(reply.m_retry_after);
        out.emplace_back("Retry-After", std::to_string(whole.count()));
    }
    return out;
}

std::string answer_error(const answer& reply)
{
    json body{
        {"error",
         {{"message", reply.m_reason},
          {"type", std::string("pepperturn_") + to_string(reply.m_outcome)}}},
        {"pepperturn", extension_of(reply)}};
    if (reply.m_retry_after.count() > 0)
        body["error"]["retry_after_ms"] = reply.m_retry_after.count();
    return dump(body);
}

std::shared_ptr<call_sink> make_chat_sink(std::shared_ptr<http_responder> out,
                                          std::string model, bool stream)
{
    return std::make_shared<chat_sink>(std::move(out), std::move(model),
                                       stream);
}

std::shared_ptr<call_sink>
make_service_sink(std::shared_ptr<http_responder> out)
{
    return std::make_shared<service_sink>(std::move(out));
}

} // namespace pepperturn
