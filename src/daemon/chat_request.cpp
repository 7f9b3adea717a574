// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/daemon/chat_request.hpp"

#include "pepperturn/config/keys.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace pepperturn {

namespace {

using nlohmann::json;

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int deepest_nesting = 16;
constexpr std::size_t longest_key = 256;

std::optional<std::string> header(const http_call& call, const char* name)
{
    const auto found = call.m_headers.find(name);
    if (found == call.m_headers.end())
        return std::nullopt;
    return found->second;
}

std::nullopt_t fail(request_fault& fault, const std::string& field,
                    const std::string& expected, int status = 400)
{
    fault = {status, field, expected};
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(const std::string& text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

/// Empty if the text is not JSON or is nested too deeply.
std::optional<json> parse_bounded(const std::string& text)
{
    bool too_deep = false;
    const auto watch = [&too_deep](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > deepest_nesting;
        return !too_deep;
    };
    auto out = json::parse(text, watch, false);
    if (too_deep || out.is_discarded())
        return std::nullopt;
    return out;
}

/// Program, session, seq and the like, common to both kinds of call.
bool read_identity(const http_call& call, const std::string& workspace,
                   const caller_settings& limits, call_request& out,
                   request_fault& fault)
{
    const auto program = header(call, "pepperturn-program");
    const auto parent = header(call, "pepperturn-parent");
    const auto session = header(call, "pepperturn-session");
    const auto name_ok = [&](const std::optional<std::string>& name,
                             const char* field) {
        if (!name || (is_valid_name(*name) && name->front() != '~'))
            return true;
        fail(fault, field, "1 to 128 letters, digits, . _ ~ - (not ~ first)");
        return false;
    };
    if (!name_ok(program, "Pepperturn-Program") ||
        !name_ok(parent, "Pepperturn-Parent") ||
        !name_ok(session, "Pepperturn-Session"))
        return false;
    if (!program && (parent || session))
    {
        fail(fault, "Pepperturn-Program",
             "a program for the given parent or session");
        return false;
    }
    auto& key = out.m_session;
    key.m_program.m_workspace = workspace;
    if (program)
    {
        key.m_program.m_program = *program;
        key.m_program.m_root = parent.value_or(*program);
    }
    key.m_session = session.value_or("main");
    if (const auto text = header(call, "pepperturn-seq"))
    {
        out.m_seq = parse_number(*text);
        if (!out.m_seq || *out.m_seq == 0)
        {
            fail(fault, "Pepperturn-Seq", "a whole number from 1");
            return false;
        }
    }
    out.m_idempotency_key = header(call, "idempotency-key").value_or("");
    if (out.m_idempotency_key.size() > longest_key)
    {
        fail(fault, "Idempotency-Key", "at most 256 characters");
        return false;
    }
    out.m_queue_timeout = limits.m_default_patience;
    if (const auto text = header(call, "pepperturn-deadline-ms"))
    {
        constexpr std::uint64_t longest = 24ULL * 3600 * 1000;
        const auto value = parse_number(*text);
        if (!value || *value == 0 || *value > longest)
        {
            fail(fault, "Pepperturn-Deadline-Ms",
                 "whole milliseconds, at most a day");
            return false;
        }
        out.m_queue_timeout = milliseconds(*value);
    }
    return true;
}

bool read_messages(const json& body, const caller_settings& limits,
                   call_request& out, request_fault& fault)
{
    const auto list = body.find("messages");
    if (list == body.end() || !list->is_array() || list->empty())
    {
        fail(fault, "messages", "a non-empty list of messages");
        return false;
    }
    if (list->size() > limits.m_max_messages)
    {
        fail(fault, "messages",
             "at most " + std::to_string(limits.m_max_messages) + " messages");
        return false;
    }
    std::size_t index = 0;
    for (const auto& entry : *list)
    {
        const auto field = "messages[" + std::to_string(index++) + "]";
        if (!entry.is_object())
        {
            fail(fault, field, "an object with role and content");
            return false;
        }
        const auto role = entry.find("role");
        const auto content = entry.find("content");
        if (role == entry.end() || !role->is_string())
        {
            fail(fault, field + ".role", "a string");
            return false;
        }
        if (content == entry.end() || !content->is_string())
        {
            fail(fault, field + ".content", "a string");
            return false;
        }
        out.m_messages.push_back({*role, *content});
    }
    return true;
}

bool read_max_tokens(const json& body, const caller_settings& limits,
                     call_request& out, request_fault& fault)
{
    out.m_max_tokens = limits.m_default_max_tokens;
    const auto value = body.contains("max_completion_tokens")
                           ? body.find("max_completion_tokens")
                           : body.find("max_tokens");
    if (value == body.end() || value->is_null())
        return true;
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() == 0 ||
        value->get<std::uint64_t>() > limits.m_most_max_tokens)
    {
        fail(fault, "max_tokens",
             "a whole number from 1 to " +
                 std::to_string(limits.m_most_max_tokens));
        return false;
    }
    out.m_max_tokens = *value;
    return true;
}

bool find_upstream(const std::string& name, call_kind kind,
                   const deployment& config, const char* field,
                   call_request& out, request_fault& fault)
{
    const auto found = config.m_upstreams.find(name);
    if (found == config.m_upstreams.end() || found->second.m_kind != kind)
    {
        fail(fault, field, "the name of a configured upstream",
             status_not_found);
        return false;
    }
    out.m_upstream = name;
    out.m_kind = kind;
    out.m_repeatable = found->second.m_repeatable;
    return true;
}

} // namespace

std::optional<std::string> authenticate(const http_call& call,
                                        const deployment& config,
                                        request_fault& fault)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = header(call, "authorization").value_or("");
    const auto dot = value.rfind('.');
    const bool formed = value.starts_with(scheme) && dot != std::string::npos &&
                        dot > scheme.size();
    if (formed)
    {
        const auto name = value.substr(scheme.size(), dot - scheme.size());
        const auto found = config.m_workspaces.find(name);
        const auto key = value.substr(scheme.size());
        // An unknown workspace costs the same time as a wrong key.
        static const workspace_info nobody;
        const auto& info =
            found == config.m_workspaces.end() ? nobody : found->second;
        if (key_matches(info.m_key_salt, info.m_key_digest, key))
            return name;
    }
    return fail(fault, "Authorization", "Bearer WORKSPACE.SECRET, a valid key",
                status_unauthorized);
}

std::optional<program_key> parse_program(const http_call& call,
                                         const std::string& workspace,
                                         const std::string& program,
                                         request_fault& fault)
{
    const auto parent = header(call, "pepperturn-parent");
    if (!is_valid_name(program))
        return fail(fault, "program", "a program's name");
    if (parent && !is_valid_name(*parent))
        return fail(fault, "Pepperturn-Parent", "a program's name");
    return program_key{workspace, parent.value_or(program), program};
}

std::optional<parsed_request> parse_chat(const http_call& call,
                                         const std::string& workspace,
                                         const deployment& config,
                                         const caller_settings& limits,
                                         request_fault& fault)
{
    const auto body = parse_bounded(call.m_body);
    if (!body || !body->is_object())
        return fail(fault, "body", "a JSON object, nested at most 16 deep");
    parsed_request out;
    auto& request = out.m_request;
    if (!read_identity(call, workspace, limits, request, fault))
        return std::nullopt;
    const auto model = body->find("model");
    if (model == body->end() || !model->is_string())
        return fail(fault, "model", "a string");
    if (!find_upstream(*model, call_kind::chat, config, "model", request,
                       fault) ||
        !read_messages(*body, limits, request, fault) ||
        !read_max_tokens(*body, limits, request, fault))
        return std::nullopt;
    const auto stream = body->find("stream");
    if (stream != body->end())
    {
        if (!stream->is_boolean())
            return fail(fault, "stream", "true or false");
        out.m_stream = *stream;
    }
    return out;
}

std::optional<parsed_request> parse_service(const http_call& call,
                                            const std::string& workspace,
                                            const deployment& config,
                                            const caller_settings& limits,
                                            request_fault& fault)
{
    constexpr std::string_view prefix = "/v1/services/";
    parsed_request out;
    auto& request = out.m_request;
    if (!read_identity(call, workspace, limits, request, fault))
        return std::nullopt;
    const auto rest = call.m_path.substr(prefix.size());
    const auto slash = rest.find('/');
    if (!find_upstream(rest.substr(0, slash), call_kind::service, config,
                       "path", request, fault))
        return std::nullopt;
    request.m_path = slash == std::string::npos ? "/" : rest.substr(slash);
    request.m_method = call.m_method;
    request.m_body = call.m_body;
    const auto repeatable = header(call, "pepperturn-repeatable");
    if (repeatable && *repeatable != "false")
        return fail(fault, "Pepperturn-Repeatable",
                    "false, or no such header; only the configuration makes "
                    "a service repeatable");
    if (repeatable)
        request.m_repeatable = false;
    return out;
}

std::string fault_body(const request_fault& fault)
{
    const json body{
        {"error",
         {{"message", fault.m_field + ": expected " + fault.m_expected},
          {"type", "invalid_request_error"},
          {"param", fault.m_field},
          {"expected", fault.m_expected}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace pepperturn
