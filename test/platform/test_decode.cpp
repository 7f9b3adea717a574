// SPDX-License-Identifier: BSL-1.0
#include "platform/decode.hpp"

#include "pepperturn/config/fleet_settings.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace {

using namespace pepperturn;
using namespace pepperturn::platform;

} // namespace

TEST_CASE("the operator's configuration", "[platform]")
{
    std::string reason;
    const auto config = decode_config(
        R"({"version":7,"routes":[
            {"name":"r1","host":"h","path_prefix":"/p/","kind":"streaming",
             "timeout_ms":5000,"target_latency_ms":200,"priority":1,
             "traffic_split":[{"service":"a","weight":90},
                              {"service":"b","weight":10}],
             "max_attempts":2,"stateful":true,"retention_s":1.5},
            {"name":"r2","host":"h","path_prefix":"/q/",
             "kind":"idempotent","service":"a"},
            {"name":"r3","host":"h","path_prefix":"/n/",
             "kind":"something new","service":"a"}],
            "services":[{"name":"a","health_path":"/health","max_conns":370,
                         "engine":{"slots":64,"kv_capacity":211374,
                                   "stride":3}}],
            "limits":{"max_header_bytes":100,"max_body_bytes":200,
                      "header_timeout_ms":300,"idle_timeout_ms":400}})",
        reason);
    REQUIRE(config.has_value());
    CHECK(config->m_version == 7);
    const auto& first = config->m_routes.at(0);
    CHECK(first.m_kind == route_kind::stream);
    CHECK(first.m_services.size() == 2);
    CHECK(first.m_retention == milliseconds(1500));
    CHECK(first.m_stateful);
    CHECK(config->m_routes.at(1).m_kind == route_kind::idempotent);
    CHECK_FALSE(config->m_routes.at(1).m_stateful);
    // What is not known is not repeated.
    CHECK(config->m_routes.at(2).m_kind == route_kind::unrepeatable);
    CHECK(config->m_services.at("a").m_engine->m_tokens_per_event == 3);
    CHECK(config->m_limits ==
          caller_limits{100, 200, milliseconds(300), milliseconds(400)});
}

TEST_CASE("an unusable configuration is refused with a reason", "[platform]")
{
    const auto* text = GENERATE(
        "", "{", "[]", "null", R"({"version":"x","routes":[],"services":[]})",
        R"({"routes":[],"services":[]})", R"({"version":1,"services":[]})",
        R"({"version":1,"routes":[{"host":1}],"services":[]})",
        R"({"version":1,"routes":[{"host":"h","path_prefix":"/",
            "kind":"streaming"}],"services":[]})",
        R"({"version":1,"routes":{},"services":[{}]})");
    std::string reason;
    CHECK_FALSE(decode_config(text, reason).has_value());
    CHECK_FALSE(reason.empty());
}

TEST_CASE("runner entries", "[platform]")
{
    std::string reason;
    const auto ready = decode_runner(
        "i-1",
        R"({"service":"a","address":"1.2.3.4:5","zone":"z","slots":6,
            "state":"ready","seq":4})",
        reason);
    REQUIRE(ready.has_value());
    CHECK(*ready == runner_info{"i-1", "a", "1.2.3.4:5", "z", 6, false});
    const auto leaving = decode_runner(
        "i-1",
        R"({"service":"a","address":"1.2.3.4:5","zone":"z","slots":1,
            "state":"draining","seq":9,"born":1790000000000})",
        reason);
    REQUIRE(leaving.has_value());
    CHECK(leaving->m_draining);
    CHECK(leaving->m_started_at_ms == 1790000000000);
    CHECK(incarnation_of(*leaving) == "i-1@1790000000000");
    CHECK(incarnation_of(*ready) == "i-1");
    CHECK(runner_age_of(R"({"seq":12})") == runner_age{0, 12});
    CHECK(runner_age_of(R"({"seq":12,"born":1790000000000})") ==
          runner_age{1790000000000, 12});
    CHECK_FALSE(runner_age_of(R"({"seq":-1})"));
    CHECK_FALSE(runner_age_of("nonsense"));
    // A runner that starts anew counts from anew.
    CHECK(runner_age{1, 40} < runner_age{2, 1});
}

TEST_CASE("an entry of another writer names no runner", "[platform]")
{
    const std::string good =
        R"({"service":"a","address":"1.2.3.4:5","zone":"z","slots":6,)"
        R"("state":"ready","seq":4,"born":1790000000000})";
    std::string reason;
    REQUIRE(decode_runner("i-1", good, reason));
    struct change
    {
        std::string m_from;
        std::string m_to;
    };
    const auto each = GENERATE_COPY(values<change>({
        {R"("service":"a",)", ""},
        {R"("service":"a")", R"("service":7)"},
        {R"("service":"a")", R"("service":["a"])"},
        {R"("address":"1.2.3.4:5",)", ""},
        {R"("1.2.3.4:5")", R"("nowhere")"},
        {R"("1.2.3.4:5")", R"("1.2.3.4:99999")"},
        {R"("1.2.3.4:5")", "null"},
        {R"("zone":"z",)", ""},
        {R"("zone":"z")", R"("zone":{})"},
        {R"("slots":6,)", ""},
        {R"("slots":6)", R"("slots":0)"},
        {R"("slots":6)", R"("slots":-6)"},
        {R"("slots":6)", R"("slots":6.5)"},
        {R"("slots":6)", R"("slots":"6")"},
        {R"("slots":6)", R"("slots":5000000000)"},
        {R"("state":"ready",)", ""},
        {R"("ready")", R"("resting")"},
        {R"("ready")", "true"},
        {R"(,"seq":4)", ""},
        {R"("seq":4)", R"("seq":"4")"},
        {R"("born":1790000000000)", R"("born":"then")"},
        {R"("born":1790000000000)", R"("born":1.5)"},
        {R"("born":1790000000000)", R"("born":-1)"},
        {R"("born":1790000000000})", R"("born":17)"},
        {R"({"service")", R"([{"service")"},
    }));
    INFO(each.m_from << " to " << each.m_to);
    auto text = good;
    const auto at = text.find(each.m_from);
    REQUIRE(at != std::string::npos);
    text.replace(at, each.m_from.size(), each.m_to);
    CHECK_FALSE(decode_runner("i-1", text, reason));
    CHECK_FALSE(decode_runner("", good, reason));
    CHECK_FALSE(decode_runner("i 1", good, reason));
    CHECK_FALSE(decode_runner("i\r\n1", good, reason));
}

TEST_CASE("workspaces and their keys", "[platform]")
{
    const auto with = [](const std::string& rows) {
        return R"({"version":1,"routes":[],"services":[],"tenants":)" + rows +
               '}';
    };
    std::string reason;
    const auto none =
        decode_config(R"({"version":1,"routes":[],"services":[]})", reason);
    REQUIRE(none);
    CHECK_FALSE(none->m_directory);
    const auto config =
        decode_config(with(R"([{"name":"a","api_keys":["k1","k2"],"priority":1,
                  "rate_per_s":309,"burst":30},
                 {"name":"b","api_keys":["k3"]},{"name":"c"}])"),
                      reason);
    REQUIRE(config);
    REQUIRE(config->m_directory);
    const auto* first = find_workspace(*config->m_directory, "k2");
    REQUIRE(first != nullptr);
    CHECK(*first == workspace{"a", 1, {309, 30}});
    const auto* second = find_workspace(*config->m_directory, "k3");
    REQUIRE(second != nullptr);
    CHECK(*second == workspace{"b", std::nullopt, {0, 0}});
    CHECK(find_workspace(*config->m_directory, "k4") == nullptr);
    const auto* refused = GENERATE(
        R"({})", R"("a")", R"([{"api_keys":["k"]}])", R"([{"name":7}])",
        R"([{"name":""}])", R"([{"name":"a"},{"name":"a"}])",
        R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])",
        R"([{"name":"a","api_keys":[""]}])", R"([{"name":"a","api_keys":[7]}])",
        R"([{"name":"a","api_keys":"k"}])", R"([{"name":"a","rate_per_s":-1}])",
        R"([{"name":"a","rate_per_s":"9"}])",
        R"([{"name":"a","rate_per_s":1e300}])", R"([{"name":"a","burst":-1}])",
        R"([{"name":"a","priority":"high"}])");
    INFO(refused);
    CHECK_FALSE(decode_config(with(refused), reason));
    // A reason is logged: no key stands in it.
    CHECK(reason.find("\"k\"") == std::string::npos);
}

TEST_CASE("views survive the store", "[platform]")
{
    const auto gap_epoch = GENERATE(std::uint64_t{0}, std::uint64_t{11});
    const cluster_view view{
        12,
        {{"a", "1.2.3.4:5", "z", UINT64_MAX >> 1U, member_state::full},
         {"b", "1.2.3.5:5", "y", 2, member_state::leaving},
         {"c", "1.2.3.6:5", "y", 0, member_state::lost}},
        2,
        7,
        {},
        gap_epoch};
    std::string reason;
    const auto back = decode_view(encode_view(view), 12, reason);
    REQUIRE(back.has_value());
    CHECK(*back == view);
    CHECK_FALSE(decode_view("{}", 1, reason));
    const char* refused =
        GENERATE(R"({"set":0,"sets":1,"members":[{"name":"a"}]})",
                 R"({"members":[]})", R"({"set":2,"sets":2,"members":[]})",
                 R"({"set":0,"sets":1,"members":[],"gap":"x"})",
                 R"({"set":-1,"sets":2,"members":[]})",
                 R"({"set":0,"sets":1,"members":[{"name":"a","address":"b",
                     "availability_zone":"c","disk":1,"state":9}]})");
    INFO(refused);
    CHECK_FALSE(decode_view(refused, 1, reason));
}

TEST_CASE("random texts are refused, not believed", "[platform][fuzz]")
{
    CHECK(rc::check("texts", [](const std::string& text) {
        std::string reason;
        (void)decode_config(text, reason);
        (void)decode_runner("i", text, reason);
        (void)decode_view(text, 1, reason);
        (void)decode_announcement(text, reason);
        (void)runner_age_of(text);
    }));
}

TEST_CASE("settings of a fleet's process", "[settings]")
{
    const std::string good = "[vm]\nname=a\nhost=1.2.3.4\n"
                             "[store]\naddress=1.2.3.5:6\n";
    std::vector<std::string> errors;
    const auto read = parse_fleet_settings(good, "test", errors);
    REQUIRE(read.has_value());
    CHECK(read->m_disk_losses == 1);
    CHECK(read->m_seeds.empty());
    const auto seeded = parse_fleet_settings(
        good + "[listen]\nseeds=1.2.3.4:5,1.2.3.5:5\n", "test", errors);
    REQUIRE(seeded.has_value());
    CHECK(seeded->m_seeds ==
          std::vector<std::string>{"1.2.3.4:5", "1.2.3.5:5"});
    struct sample
    {
        std::string m_text;
        std::string m_error;
    };
    const auto each = GENERATE_COPY(values<sample>({
        {"", "[vm] name is missing"},
        {good + "[vm2]\na=b\n", "unknown section [vm2]"},
        {"[vm]\nname=a\nhost=h\nnmae=x\n[store]\naddress=s\n",
         "[vm] nmae: unknown key"},
        {good + "[listen]\nframes_port=7\n", "frames_port: unknown key"},
        {good + "[storage]\ndisk_losses=many\n", "whole number"},
        {"[vm]\nname=a\nhost=h\nbootstrap=perhaps\n[store]\naddress=s\n",
         "expected true or false"},
        {"nonsense\n", "test"},
    }));
    INFO(each.m_text);
    CHECK_FALSE(parse_fleet_settings(each.m_text, "test", errors));
    REQUIRE_FALSE(errors.empty());
    std::string all;
    for (const auto& error : errors)
        all += error + '\n';
    INFO(all);
    CHECK(all.find(each.m_error) != std::string::npos);
}

TEST_CASE("how long a runner is cold, by what it tells", "[platform]")
{
    struct sample
    {
        const char* m_told;
        int m_ms;
    };
    const auto each =
        GENERATE(values<sample>({{R"(,"cold_left_ms":2500)", 2500},
                                 {R"(,"cold_left_ms":0.2)", 1},
                                 {R"(,"cold_left_ms":-5)", 0},
                                 {R"(,"cold_left_ms":1e300)", 60000},
                                 {R"(,"cold_left_ms":"x")", 0},
                                 {R"(,"cold_left_ms":null)", 0},
                                 {"", 0}}));
    std::string reason;
    const auto info = decode_runner(
        "r1",
        std::string(R"({"service":"a","address":"1.2.3.4:5","zone":"z",)") +
            R"("slots":4,"state":"ready","seq":1)" + each.m_told + "}",
        reason);
    REQUIRE(info);
    CHECK(info->m_cold_remaining == milliseconds(each.m_ms));
}
