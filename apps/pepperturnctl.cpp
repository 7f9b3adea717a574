// SPDX-License-Identifier: BSL-1.0
// The operators' command: questions and orders over a VM's HTTP interface.
#include "pepperturn/config/deployment_file.hpp"
#include "pepperturn/config/keys.hpp"
#include "pepperturn/net/http_client.hpp"
#include "pepperturn/policy/lua_policy.hpp"

#include <cxxopts.hpp>
#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using nlohmann::json;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int status_ok = 200;

constexpr const char* verbs_text = R"(Verbs:
  explain CALL             why a call waited, where it ran, what it cost
  programs                 programs, budgets, unknown calls
  calls                    calls under way
  runners                  runners as this VM sees them
  vms                      VMs, heartbeats, configuration in force
  partitions               who owns what
  top                      one screen of all of it
  resolve WORKSPACE PROGRAM SESSION SEQ ran|not_run
                           say what became of an unknown call
  drain RUNNER             put a configuration with the runner leaving
  config check FILE        check a configuration (and --policy) here
  config put FILE          make it the next revision (--expect N)
  config get               the newest revision
  config history           all revisions
  policy check FILE        check a policy here
  policy put FILE          put a policy with the newest configuration
  key WORKSPACE            make a key and its INI lines
)";

struct context
{
    std::string m_url;
    std::string m_key;
    bool m_json = false;
    cxxopts::ParseResult m_options;
    std::vector<std::string> m_freshness;
};

pepperturn::http_result ask(const context& with, const std::string& method,
                            const std::string& path, const std::string& body)
{
    pepperturn::http_fetch request;
    request.m_base_url = with.m_url;
    request.m_method = method;
    request.m_path = path;
    request.m_body = body;
    request.m_headers = {{"Authorization", "Bearer " + with.m_key}};
    std::promise<pepperturn::http_result> promise;
    auto future = promise.get_future();
    pepperturn::fetch(request,
                      [&promise](const pepperturn::http_result& result) {
                          promise.set_value(result);
                      });
    return future.get();
}

std::string read_file(const std::string& name, bool& found)
{
    std::ifstream input(name);
    found = input.good();
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

int fail(const std::string& what, int code = exit_failed)
{
    std::cerr << "pepperturnctl: " << what << "\n";
    return code;
}

int explain_failure(const pepperturn::http_result& result)
{
    if (result.m_end != pepperturn::transfer_end::complete)
        return fail("no answer: " + result.m_reason);
    const auto body = json::parse(result.m_body, nullptr, false);
    if (body.is_object() && body.contains("errors"))
    {
        for (const auto& entry : body["errors"])
            fail(entry.is_string() ? entry.get<std::string>() : entry.dump());
        return exit_failed;
    }
    if (body.is_object() && body.contains("error"))
        return fail(body["error"].value("message", result.m_body));
    return fail("status " + std::to_string(result.m_status) + ": " +
                result.m_body);
}

bool succeeded(const pepperturn::http_result& result)
{
    return result.m_end == pepperturn::transfer_end::complete &&
           result.m_status == status_ok;
}

std::string cell(const json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.dump();
}

/// Columns as wide as their widest cell; nested values as JSON.
void print_table(const json& rows, const std::vector<std::string>& columns)
{
    std::vector<std::size_t> widths;
    for (const auto& column : columns)
    {
        std::size_t width = column.size();
        for (const auto& row : rows)
            width = std::max(width, cell(row.value(column, json(""))).size());
        widths.push_back(width);
    }
    const auto print_row = [&](const auto& text_of) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            std::cout << std::left << std::setw(static_cast<int>(widths[i]))
                      << text_of(columns[i]) << "  ";
        std::cout << "\n";
    };
    print_row([](const std::string& column) { return column; });
    for (const auto& row : rows)
        print_row([&row](const std::string& column) {
            return cell(row.value(column, json("")));
        });
}

const std::map<std::string, std::vector<std::string>>& table_columns()
{
    static const std::map<std::string, std::vector<std::string>> columns{
        {"programs",
         {"workspace", "program", "vm", "partition", "turns", "spent_tokens",
          "budget_tokens", "live_calls", "ended", "unknown_calls"}},
        {"calls",
         {"call", "workspace", "program", "session", "seq", "state", "upstream",
          "runner", "class", "age_ms"}},
        {"runners",
         {"runner", "upstream", "availability_zone", "reachable", "leaving",
          "in_flight_from_here", "reported_running", "reported_queued",
          "report_age_ms"}},
        {"vms",
         {"vm", "availability_zone", "alive", "leaving", "store_down",
          "config_revision", "heard_ms_ago", "partitions"}},
        {"partitions",
         {"partition", "vm", "role", "epoch", "next_seq", "snapshot_covers",
          "pending_records", "programs"}},
        {"explain", {"at_s", "vm", "what"}},
        {"config/history",
         {"revision", "author", "config_bytes", "policy_bytes"}}};
    return columns;
}

int show(const context& with, const std::string& verb,
         const std::string& query = {})
{
    const auto result = ask(with, "GET", "/v1/operator/" + verb + query, {});
    if (!succeeded(result))
        return explain_failure(result);
    if (with.m_json)
    {
        std::cout << result.m_body << "\n";
        return 0;
    }
    const auto rows = json::parse(result.m_body, nullptr, false);
    if (!rows.is_array())
        return fail("the VM's answer is not a list");
    if (verb == "explain" && rows.empty())
        return fail("no live VM remembers this call");
    print_table(rows, table_columns().at(verb));
    return 0;
}

int top(const context& with)
{
    for (const char* verb :
         {"vms", "partitions", "runners", "programs", "calls"})
    {
        std::cout << "== " << verb << "\n";
        if (const int code = show(with, verb); code != 0)
            return code;
    }
    return 0;
}

struct newest_config
{
    std::uint64_t m_revision = 0;
    std::string m_config;
    std::string m_policy;
};

std::optional<newest_config> read_newest(const context& with, int& code)
{
    const auto result = ask(with, "GET", "/v1/operator/config", {});
    if (!succeeded(result))
    {
        code = explain_failure(result);
        return std::nullopt;
    }
    std::string reason;
    const auto revision = pepperturn::decode_revision(result.m_body, reason);
    if (!revision)
    {
        code = fail(reason);
        return std::nullopt;
    }
    return newest_config{revision->m_revision, revision->m_config,
                         revision->m_policy};
}

int put(const context& with, const newest_config& base)
{
    auto expect = base.m_revision;
    if (with.m_options.count("expect") > 0)
        expect = with.m_options["expect"].as<std::uint64_t>();
    const json body{{"expect", expect},
                    {"config", base.m_config},
                    {"policy", base.m_policy},
                    {"author", with.m_options["author"].as<std::string>()}};
    const auto result = ask(with, "PUT", "/v1/operator/config", body.dump());
    if (!succeeded(result))
        return explain_failure(result);
    const auto reply = json::parse(result.m_body, nullptr, false);
    if (with.m_json)
        std::cout << result.m_body << "\n";
    else
        std::cout << "revision " << reply.value("revision", 0) << "\n";
    return 0;
}

int check_local(const newest_config& candidate)
{
    std::vector<std::string> errors;
    const pepperturn::config_revision revision{
        0, candidate.m_config, candidate.m_policy, {}};
    const auto parsed = pepperturn::parse_deployment(revision, errors);
    std::string reason;
    if (!pepperturn::make_policy(candidate.m_policy, 0, reason))
        errors.push_back("policy: " + reason);
    for (const auto& error : errors)
        fail(error);
    if (!parsed || !errors.empty())
        return exit_usage;
    std::cout << "valid\n";
    return 0;
}

int config(const context& with)
{
    const auto verb = with.m_freshness.size() > 1 ? with.m_freshness[1] : "";
    if (verb == "history")
        return show(with, "config/history");
    if (verb == "get")
    {
        int code = 0;
        const auto newest = read_newest(with, code);
        if (!newest)
            return code;
        if (with.m_json)
            std::cout << json{{"revision", newest->m_revision},
                              {"config", newest->m_config},
                              {"policy", newest->m_policy}}
                             .dump()
                      << "\n";
        else
            std::cout << "# revision " << newest->m_revision << "\n"
                      << newest->m_config;
        return 0;
    }
    if ((verb != "put" && verb != "check") || with.m_freshness.size() < 3)
        return fail("config check|put FILE, get or history", exit_usage);
    newest_config candidate;
    bool found = false;
    candidate.m_config = read_file(with.m_freshness[2], found);
    if (!found)
        return fail(with.m_freshness[2] + ": cannot be read", exit_usage);
    const auto policy = with.m_options["policy"].as<std::string>();
    if (!policy.empty())
        candidate.m_policy = read_file(policy, found);
    if (!found)
        return fail(policy + ": cannot be read", exit_usage);
    if (verb == "check")
        return check_local(candidate);
    int code = 0;
    const auto newest = read_newest(with, code);
    if (!newest)
        return code;
    candidate.m_revision = newest->m_revision;
    if (policy.empty())
        candidate.m_policy = newest->m_policy;
    return put(with, candidate);
}

int policy(const context& with)
{
    const auto verb = with.m_freshness.size() > 1 ? with.m_freshness[1] : "";
    if ((verb != "put" && verb != "check") || with.m_freshness.size() < 3)
        return fail("policy check|put FILE", exit_usage);
    bool found = false;
    const auto source = read_file(with.m_freshness[2], found);
    if (!found)
        return fail(with.m_freshness[2] + ": cannot be read", exit_usage);
    std::string reason;
    if (!pepperturn::make_policy(source, 0, reason))
        return fail(with.m_freshness[2] + ": " + reason, exit_usage);
    if (verb == "check")
    {
        std::cout << "valid\n";
        return 0;
    }
    int code = 0;
    auto newest = read_newest(with, code);
    if (!newest)
        return code;
    newest->m_policy = source;
    return put(with, *newest);
}

/// The runner's section with `leaving = true`.
std::optional<std::string> with_leaving(const std::string& text,
                                        const std::string& runner)
{
    std::istringstream input(text);
    std::string out;
    std::string line;
    bool found = false;
    bool inside = false;
    while (std::getline(input, line))
    {
        const bool opens = line.starts_with('[');
        if (opens)
            inside = line == "[runner " + runner + "]";
        const bool old = inside && line.starts_with("leaving");
        if (!old)
            out += line + "\n";
        if (opens && inside)
        {
            out += "leaving = true\n";
            found = true;
        }
    }
    if (!found)
        return std::nullopt;
    return out;
}

int drain(const context& with)
{
    if (with.m_freshness.size() != 2)
        return fail("drain RUNNER", exit_usage);
    int code = 0;
    auto newest = read_newest(with, code);
    if (!newest)
        return code;
    const auto changed = with_leaving(newest->m_config, with.m_freshness[1]);
    if (!changed)
        return fail("no section [runner " + with.m_freshness[1] + "]");
    newest->m_config = *changed;
    return put(with, *newest);
}

int resolve(const context& with)
{
    if (with.m_freshness.size() != 6)
        return fail("resolve WORKSPACE PROGRAM SESSION SEQ ran|not_run",
                    exit_usage);
    const json body{
        {"workspace", with.m_freshness[1]},
        {"program", with.m_freshness[2]},
        {"session", with.m_freshness[3]},
        {"seq", std::strtoull(with.m_freshness[4].c_str(), nullptr, 10)},
        {"outcome", with.m_freshness[5]}};
    const auto result = ask(with, "POST", "/v1/operator/resolve", body.dump());
    if (!succeeded(result))
        return explain_failure(result);
    std::cout << "resolved\n";
    return 0;
}

int key(const context& with)
{
    if (with.m_freshness.size() != 2)
        return fail("key WORKSPACE", exit_usage);
    constexpr unsigned salt_bytes = 8;
    constexpr unsigned secret_bytes = 24;
    const auto salt = pepperturn::random_hex(salt_bytes);
    const auto secret =
        with.m_freshness[1] + "." + pepperturn::random_hex(secret_bytes);
    if (with.m_json)
    {
        std::cout << json{{"key", secret},
                          {"key_salt", salt},
                          {"key_digest", pepperturn::key_digest(salt, secret)}}
                         .dump()
                  << "\n";
        return 0;
    }
    std::cout << "key (shown once): " << secret << "\n"
              << "key_salt = " << salt << "\n"
              << "key_digest = " << pepperturn::key_digest(salt, secret)
              << "\n";
    return 0;
}

/// The lines of the overview that are about one verb.
int help_for(const std::string& verb)
{
    std::istringstream lines(verbs_text);
    std::string line;
    bool found = false;
    bool inside = false;
    while (std::getline(lines, line))
    {
        const bool continues = line.starts_with("      ");
        inside = line.starts_with("  " + verb + " ") || (inside && continues);
        if (inside)
            std::cout << line << "\n";
        found = found || inside;
    }
    return found ? 0 : fail("no such verb: " + verb, exit_usage);
}

int run(const context& with)
{
    const auto& verb = with.m_freshness.front();
    if (verb == "explain")
    {
        if (with.m_freshness.size() != 2)
            return fail("explain CALL", exit_usage);
        return show(with, verb, "?call=" + with.m_freshness[1]);
    }
    if (verb == "top")
        return top(with);
    if (verb == "config")
        return config(with);
    if (verb == "policy")
        return policy(with);
    if (verb == "drain")
        return drain(with);
    if (verb == "resolve")
        return resolve(with);
    if (verb == "key")
        return key(with);
    if (table_columns().contains(verb))
        return show(with, verb);
    return fail("no such verb: " + verb, exit_usage);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("pepperturnctl",
                             "Questions and orders to pepperturn.\n");
    options.positional_help("VERB ...");
    options.add_options()(
        "u,url", "a VM's HTTP address (PEPPERTURN_URL)",
        cxxopts::value<std::string>()->default_value("http://127.0.0.1:8080"))(
        "k,key-file", "file with the operator's key (PEPPERTURN_KEY)",
        cxxopts::value<std::string>())("json", "print JSON")(
        "expect", "config put: the revision it replaces",
        cxxopts::value<std::uint64_t>())(
        "policy", "config put, check: Lua policy to go with it",
        cxxopts::value<std::string>()->default_value(""))(
        "author", "config put: who changes it",
        cxxopts::value<std::string>()->default_value("operator"))(
        "words", "verb and its arguments",
        cxxopts::value<std::vector<std::string>>())("h,help", "this text");
    options.parse_positional({"words"});
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 && parsed.count("words") > 0)
            return help_for(
                parsed["words"].as<std::vector<std::string>>().front());
        if (parsed.count("help") > 0 || parsed.count("words") == 0)
        {
            std::cout << options.help() << verbs_text;
            return parsed.count("help") > 0 ? 0 : exit_usage;
        }
        context with{{},
                     {},
                     parsed.count("json") > 0,
                     parsed,
                     parsed["words"].as<std::vector<std::string>>()};
        const char* url = std::getenv("PEPPERTURN_URL");
        with.m_url = parsed.count("url") > 0 || url == nullptr
                         ? parsed["url"].as<std::string>()
                         : url;
        const char* key = std::getenv("PEPPERTURN_KEY");
        with.m_key = key == nullptr ? "" : key;
        if (parsed.count("key-file") > 0)
        {
            std::ifstream input(parsed["key-file"].as<std::string>());
            std::getline(input, with.m_key);
        }
        pepperturn::start_http_threads(2);
        return run(with);
    }
    catch (const std::exception& error)
    {
        return fail(error.what(), exit_usage);
    }
}
