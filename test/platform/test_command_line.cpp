// SPDX-License-Identifier: BSL-1.0
#include "platform/command_line.hpp"

#include "support/fleet/scratch_folder.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace {

using namespace pepperturn;
using namespace pepperturn::platform;
using request = daemon_request;

command_line parse(std::vector<const char*> words)
{
    words.insert(words.begin(), "pepperturn-edge");
    return parse_command_line(static_cast<int>(words.size()), words.data(),
                              "pepperturn-edge", "/usual.ini");
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

constexpr const char* good_settings = "[vm]\nname = e1\nhost = 127.0.0.1\n"
                                      "[listen]\ncallers = 127.0.0.1:80\n"
                                      "seeds = 127.0.0.1:81,127.0.0.1:82\n"
                                      "[store]\naddress = 127.0.0.1:83\n";

} // namespace

TEST_CASE("a daemon's command line", "[command_line]")
{
    struct sample
    {
        std::vector<const char*> m_words;
        request m_request;
        std::string m_settings;
    };
    const std::vector<sample> samples{
        {{}, request::run, "/usual.ini"},
        {{"--settings", "a.ini"}, request::run, "a.ini"},
        {{"a.ini"}, request::run, "a.ini"},
        {{"--check"}, request::check, "/usual.ini"},
        {{"--check", "a.ini"}, request::check, "a.ini"},
        {{"--settings", "a.ini", "--check"}, request::check, "a.ini"},
        {{"--settings=a.ini", "--check"}, request::check, "a.ini"},
        {{"--help"}, request::help, ""},
        {{"-h"}, request::help, ""},
        {{"--version"}, request::version, ""},
        {{"--chekc"}, request::unusable, ""},
        {{"--settings"}, request::unusable, ""},
        {{"--check", "a.ini", "b.ini"}, request::unusable, ""},
    };
    for (const auto& each : samples)
    {
        INFO((each.m_words.empty() ? "nothing" : each.m_words.back()));
        const auto got = parse(each.m_words);
        CHECK(got.m_request == each.m_request);
        CHECK(got.m_settings == each.m_settings);
        const bool runs =
            each.m_request == request::run || each.m_request == request::check;
        CHECK(got.m_text.empty() == runs);
    }
    CHECK(has(parse({"--help"}).m_text, "--check"));
    CHECK(has(parse({"--version"}).m_text, "pepperturn-edge "));
}

TEST_CASE("settings are checked, every error by its key", "[command_line]")
{
    struct sample
    {
        std::string m_text;
        std::vector<std::string> m_errors;
    };
    const std::vector<sample> samples{
        {good_settings, {}},
        {"[vm]\nname = e1\nmemory_mb = much\ngrace = 3\n[lisen]\na = b\n",
         {"[vm] memory_mb: ", "[vm] grace", "[lisen]", "[vm] host is missing",
          "[store] address is missing"}},
        {std::string(good_settings) + "[bounds]\nrevoke_ms = 1\n",
         {"[bounds] revoke_ms: "}},
        {std::string(good_settings) +
             "[bounds]\nquota_excess = -0.1\nquota_slack = some\n"
             "[placement]\nfrom_shared_tokens = -1\nfrom = 2\n",
         {"[bounds] quota_excess: ", "[bounds] quota_slack: ",
          "[placement] from_shared_tokens: ", "[placement] from"}},
        {std::string(good_settings) + "[bounds]\nquota_excess = 2\n"
                                      "[placement]\n"
                                      "from_shared_tokens = 8192\n",
         {"[bounds] quota_excess: "}},
        {"[vm]\nname = e1\nhost = h\n[store]\naddress = nowhere\n"
         "[listen]\nready = 1.2.3.4\nseeds = 1.2.3.4:5,x\n",
         {"[store] address: 'nowhere'", "[listen] ready: '1.2.3.4'",
          "[listen] seeds: 'x'"}},
        {"no line of settings\n", {"settings.ini:1: "}},
    };
    const auto folder = test::make_scratch_folder("command-line");
    const auto file = folder + "/settings.ini";
    for (const auto& each : samples)
    {
        INFO(each.m_text);
        std::ofstream(file) << each.m_text;
        std::ostringstream out;
        std::ostringstream errors;
        const int status = check_settings(file, "edge", out, errors);
        CHECK(status == (each.m_errors.empty() ? 0 : 1));
        CHECK(out.str().empty() == !each.m_errors.empty());
        for (const auto& error : each.m_errors)
        {
            INFO(errors.str());
            CHECK(has(errors.str(), error));
        }
        const auto text = errors.str();
        CHECK(std::count(text.begin(), text.end(), '\n') ==
              static_cast<std::ptrdiff_t>(each.m_errors.size()));
    }
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(check_settings("/nowhere/at/all", "edge", out, errors) == 1);
    CHECK(has(errors.str(), "/nowhere/at/all: cannot be read"));
    std::filesystem::remove_all(folder);
}
