// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/daemon/front.hpp"

#include "pepperturn/config/keys.hpp"
#include "pepperturn/daemon/caller_sink.hpp"
#include "pepperturn/daemon/chat_request.hpp"
#include "pepperturn/policy/lua_policy.hpp"

#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

const http_headers not_run_headers{{"Pepperturn-Outcome", "not_run"}};

void reply_fault(const std::shared_ptr<http_responder>& out,
                 const request_fault& fault)
{
    out->reply(fault.m_status, not_run_headers, fault_body(fault));
}

void reply_answer(const std::shared_ptr<http_responder>& out,
                  const answer& received)
{
    const auto reply = without_broken_status(received);
    out->reply(reply.m_status, answer_headers(reply),
               reply.m_status == status_ok ? "{}" : answer_error(reply));
}

std::string text_of(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string{};
}

std::optional<outcome> parse_outcome(const std::string& text)
{
    if (text == "ran")
        return outcome::ran;
    if (text == "not_run")
        return outcome::not_run;
    return std::nullopt;
}

/// What `config check` and `config put` both look at.
std::vector<std::string> faults_of(const config_revision& revision)
{
    std::vector<std::string> errors;
    if (!parse_deployment(revision, errors) && errors.empty())
        errors.emplace_back("config: not readable");
    std::string reason;
    if (!make_policy(revision.m_policy, revision.m_revision, reason))
        errors.push_back("policy: " + reason);
    return errors;
}

} // namespace

front::front(const daemon_settings& settings, node& vm)
    : m_settings(settings), m_node(vm)
{}

std::uint32_t front::open(std::string& reason)
{
    http_server_options options;
    options.m_host = m_settings.m_vm.m_host;
    options.m_port = m_settings.m_vm.m_http_port;
    options.m_max_body_bytes = m_settings.m_callers.m_max_body_bytes;
    options.m_max_unread_bytes = m_settings.m_callers.m_max_unread_bytes;
    options.m_max_connections = m_settings.m_callers.m_max_connections;
    options.m_max_buffered_bytes = m_settings.m_callers.m_max_buffered_bytes;
    options.m_threads = m_settings.m_vm.m_http_threads;
    options.m_certificate = m_settings.m_tls.m_http_certificate;
    options.m_key = m_settings.m_tls.m_http_key;
    m_server = open_http_server(
        options,
        [this](const http_call& call, const responder_ptr& out) {
            handle(call, out);
        },
        reason);
    return m_server == nullptr ? 0 : m_server->port();
}

void front::close()
{
    if (m_server != nullptr)
        m_server->close();
}

void front::handle(const http_call& call, const responder_ptr& out)
{
    if (call.m_path == "/healthz")
    {
        // A stopping VM fails first, so that the balancer looks elsewhere.
        const bool ready =
            !m_node.stopping() && m_node.current()->m_revision > 0;
        out->reply(ready ? status_ok : status_unavailable, {},
                   ready ? "{\"status\":\"ok\"}"
                         : "{\"status\":\"not ready\"}");
        return;
    }
    if (call.m_path == "/metrics")
    {
        m_node.metrics([out](const std::string& text) {
            out->reply(status_ok, {{"Content-Type", "text/plain"}}, text);
        });
        return;
    }
    if (call.m_path.starts_with("/v1/operator/"))
        handle_operator(call, out);
    else
        handle_caller(call, out);
}

void front::handle_caller(const http_call& call, const responder_ptr& out)
{
    if (m_node.stopping())
    {
        out->reply(status_unavailable,
                   {{"Pepperturn-Outcome", "not_run"},
                    {"Retry-After", "1"},
                    {"Connection", "close"}},
                   "{\"error\":{\"message\":\"this VM is stopping; ask "
                   "another\",\"type\":\"pepperturn_not_run\"}}");
        return;
    }
    const auto config = m_node.current();
    request_fault fault;
    const auto workspace = authenticate(call, *config, fault);
    if (!workspace)
    {
        reply_fault(out, fault);
        return;
    }
    const auto& limits = m_settings.m_callers;
    constexpr std::string_view services = "/v1/services/";
    if (call.m_path == "/v1/chat/completions" && call.m_method == "POST")
    {
        auto parsed = parse_chat(call, *workspace, *config, limits, fault);
        if (!parsed)
        {
            reply_fault(out, fault);
            return;
        }
        const auto model = parsed->m_request.m_upstream;
        m_node.submit(std::move(parsed->m_request),
                      make_chat_sink(out, model, parsed->m_stream));
        return;
    }
    if (call.m_path.starts_with(services))
    {
        auto parsed = parse_service(call, *workspace, *config, limits, fault);
        if (!parsed)
        {
            reply_fault(out, fault);
            return;
        }
        m_node.submit(std::move(parsed->m_request), make_service_sink(out));
        return;
    }
    if (call.m_path.starts_with("/v1/programs/") && call.m_method == "DELETE")
    {
        end_program(call, *workspace, out);
        return;
    }
    if (call.m_path == "/v1/resolve" && call.m_method == "POST")
    {
        resolve(call.m_body, *workspace, out);
        return;
    }
    reply_fault(out, {status_not_found, "path", "a documented path"});
}

void front::end_program(const http_call& call, const std::string& workspace,
                        const responder_ptr& out)
{
    constexpr std::string_view prefix = "/v1/programs/";
    request_fault fault;
    const auto key = parse_program(call, workspace,
                                   call.m_path.substr(prefix.size()), fault);
    if (!key)
    {
        reply_fault(out, fault);
        return;
    }
    m_node.end_program(
        *key, [out](const answer& reply) { reply_answer(out, reply); });
}

void front::resolve(const std::string& body, const std::string& workspace,
                    const responder_ptr& out)
{
    const auto json_body = json::parse(body, nullptr, false);
    request_fault fault{status_bad_request, "body",
                        "program, session, seq and outcome (ran or not_run)"};
    if (!json_body.is_object() || !json_body.contains("seq") ||
        !json_body["seq"].is_number_unsigned())
    {
        reply_fault(out, fault);
        return;
    }
    const auto owner =
        workspace.empty() ? text_of(json_body, "workspace") : workspace;
    const auto program = text_of(json_body, "program");
    const auto root = text_of(json_body, "root");
    const auto session = text_of(json_body, "session");
    const auto verdict = parse_outcome(text_of(json_body, "outcome"));
    if (!verdict || !is_valid_name(program) || !is_valid_name(owner))
    {
        reply_fault(out, fault);
        return;
    }
    const session_key key{{owner, root.empty() ? program : root, program},
                          session.empty() ? "main" : session};
    m_node.resolve(key, json_body["seq"], *verdict,
                   [out](const answer& reply) { reply_answer(out, reply); });
}

void front::handle_operator(const http_call& call, const responder_ptr& out)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = call.m_headers.find("authorization");
    const auto key =
        header != call.m_headers.end() && header->second.starts_with(scheme)
            ? header->second.substr(scheme.size())
            : std::string{};
    const auto& operators = m_settings.m_operator;
    if (!key_matches(operators.m_key_salt, operators.m_key_digest, key))
    {
        reply_fault(out,
                    {status_forbidden, "Authorization", "an operator's key"});
        return;
    }
    const auto verb =
        call.m_path.substr(std::string_view("/v1/operator/").size());
    const auto reply_text = [out](const std::string& text) {
        out->reply(status_ok, {}, text);
    };
    if (verb == "config" && call.m_method == "PUT")
        put_config(call, out);
    else if (verb == "config/check")
        check_config(call, out);
    else if (verb == "config")
        get_config(out);
    else if (verb == "config/history")
        config_history(out);
    else if (verb == "resolve")
        resolve(call.m_body, {}, out);
    else if (verb == "programs" || verb == "partitions" || verb == "calls" ||
             verb == "explain")
        m_node.query_all(verb,
                         call.m_query.contains("call") ? call.m_query.at("call")
                                                       : std::string{},
                         reply_text);
    else if (verb == "vms" || verb == "runners")
        m_node.query_here(verb, {}, reply_text);
    else
        reply_fault(out, {status_not_found, "path", "a documented verb"});
}

void front::check_config(const http_call& call, const responder_ptr& out)
{
    const auto body = json::parse(call.m_body, nullptr, false);
    if (!body.is_object())
    {
        reply_fault(out, {status_bad_request, "body", "a JSON object"});
        return;
    }
    config_revision revision;
    revision.m_config = text_of(body, "config");
    revision.m_policy = text_of(body, "policy");
    const auto faults = faults_of(revision);
    out->reply(faults.empty() ? status_ok : status_bad_request, {},
               json{{"errors", faults}}.dump());
}

void front::put_config(const http_call& call, const responder_ptr& out)
{
    const auto body = json::parse(call.m_body, nullptr, false);
    if (!body.is_object() || !body.contains("expect") ||
        !body["expect"].is_number_unsigned())
    {
        reply_fault(out, {status_bad_request, "expect",
                          "the revision that this one replaces"});
        return;
    }
    config_revision next;
    next.m_revision = body["expect"].get<std::uint64_t>() + 1;
    next.m_config = text_of(body, "config");
    next.m_policy = text_of(body, "policy");
    next.m_author = text_of(body, "author");
    const auto faults = faults_of(next);
    if (!faults.empty())
    {
        out->reply(status_bad_request, {}, json{{"errors", faults}}.dump());
        return;
    }
    m_node.configs().put(
        next, [this, out, revision = next.m_revision](guarded_status status) {
            switch (status)
            {
            case guarded_status::written:
                m_node.refresh_config();
                out->reply(status_ok, {}, json{{"revision", revision}}.dump());
                return;
            case guarded_status::refused:
                out->reply(status_conflict, {},
                           json{{"errors",
                                 {"revision " + std::to_string(revision) +
                                  " exists: another change was first; read "
                                  "it and put again"}}}
                               .dump());
                return;
            case guarded_status::no_answer:
                out->reply(status_unavailable, {},
                           json{{"errors",
                                 {"the store did not confirm; the change may "
                                  "or may not have been made: read it"}}}
                               .dump());
                return;
            }
        });
}

void front::get_config(const responder_ptr& out)
{
    m_node.configs().read_newest(
        0, [out](const std::optional<std::optional<config_revision>>& found) {
            if (!found)
            {
                out->reply(status_unavailable, {},
                           "{\"errors\":[\"the store did not answer\"]}");
                return;
            }
            out->reply(status_ok, {},
                       *found ? encode_revision(**found)
                              : encode_revision(config_revision{}));
        });
}

void front::config_history(const responder_ptr& out)
{
    m_node.configs().read_all(
        [out](const std::optional<std::vector<config_revision>>& found) {
            if (!found)
            {
                out->reply(status_unavailable, {},
                           "{\"errors\":[\"the store did not answer\"]}");
                return;
            }
            json list = json::array();
            for (const auto& entry : *found)
                list.push_back({{"revision", entry.m_revision},
                                {"author", entry.m_author},
                                {"config_bytes", entry.m_config.size()},
                                {"policy_bytes", entry.m_policy.size()}});
            out->reply(status_ok, {}, list.dump());
        });
}

} // namespace pepperturn
