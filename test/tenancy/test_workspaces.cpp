// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/tenancy/identity.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace pepperturn;

workspace_directory two_workspaces()
{
    workspace_directory out;
    REQUIRE(add_workspace(out, {"a", 1, {10, 5}}, {"key-a", "key-b"}).empty());
    REQUIRE(add_workspace(out, {"b", std::nullopt, {}}, {"key-c"}).empty());
    return out;
}

} // namespace

TEST_CASE("well-formed and malformed credentials", "[tenancy]")
{
    struct sample
    {
        std::vector<std::string_view> m_values;
        std::string_view m_key;
        std::string_view m_fault;
    };
    const std::string longest(max_key_bytes, 'k');
    const std::string too_long = "Token " + longest + 'k';
    const std::string just_fits = "Token " + longest;
    const std::vector<sample> samples{
        {{"Token key-a"}, "key-a", ""},
        {{"token key-a"}, "key-a", ""},
        {{"TOKEN key-a"}, "key-a", ""},
        {{"Token  key-a"}, "key-a", ""},
        {{"Token\tkey-a"}, "key-a", ""},
        {{just_fits}, longest, ""},
        {{"Token a=b,c;d"}, "a=b,c;d", ""},
        {{}, "", "no credentials"},
        {{""}, "", "credentials of another scheme"},
        {{"Token"}, "", "credentials without a key"},
        {{"Token "}, "", "credentials without a key"},
        {{"key-a"}, "", "credentials of another scheme"},
        {{"Bearer key-a"}, "", "credentials of another scheme"},
        {{"Tokenkey-a"}, "", "credentials of another scheme"},
        {{"Token: key-a"}, "", "credentials of another scheme"},
        {{"Token key-a key-b"}, "", "a key with characters that none has"},
        {{"Token key\ta"}, "", "a key with characters that none has"},
        {{"Token key\x01"}, "", "a key with characters that none has"},
        {{"Token k\xc3\xa9y"}, "", "a key with characters that none has"},
        {{too_long}, "", "a key that is too long"},
        {{"Token key-a", "Token key-a"}, "", "credentials twice"},
        {{"Token key-a", "Token key-c"}, "", "credentials twice"},
        {{"Token key-a", ""}, "", "credentials twice"},
    };
    for (const auto& each : samples)
    {
        INFO((each.m_values.empty() ? "none" : each.m_values.front()));
        CHECK(read_credentials(each.m_values, "Token") ==
              credentials{std::string(each.m_key), each.m_fault});
    }
}

TEST_CASE("a directory keeps digests, not keys", "[tenancy]")
{
    auto directory = two_workspaces();
    CHECK(find_workspace(directory, "key-a")->m_name == "a");
    CHECK(find_workspace(directory, "key-b")->m_name == "a");
    CHECK(find_workspace(directory, "key-c")->m_name == "b");
    CHECK(find_workspace(directory, "key-") == nullptr);
    CHECK(find_workspace(directory, "") == nullptr);
    CHECK(directory.m_keys.contains(digest_of("key-a")));
    CHECK_FALSE(add_workspace(directory, {"a", {}, {}}, {}).empty());
    CHECK_FALSE(add_workspace(directory, {"", {}, {}}, {}).empty());
    CHECK_FALSE(add_workspace(directory, {"c", {}, {-1, 0}}, {}).empty());
    CHECK_FALSE(add_workspace(directory, {"d", {}, {1, 1e12}}, {}).empty());
    const auto reason = add_workspace(directory, {"e", {}, {}}, {"key-a"});
    CHECK(reason == "workspace e has a key of a");
    // A key may be listed twice in its own workspace.
    CHECK(add_workspace(directory, {"f", {}, {}}, {"k", "k"}).empty());
}

TEST_CASE("the verdict depends on the age of the configuration", "[tenancy]")
{
    const auto directory = two_workspaces();
    const staleness_limits limits{milliseconds(5000), milliseconds(3000)};
    struct sample
    {
        std::string m_key;
        int m_age_ms;
        identity_verdict m_expected;
    };
    const auto each = GENERATE(values<sample>({
        {"key-a", 0, identity_verdict::known},
        {"key-a", 4500, identity_verdict::known},
        {"key-a", 4501, identity_verdict::uncertain},
        {"key-x", 0, identity_verdict::unknown},
        {"key-x", 2400, identity_verdict::unknown},
        // The key may be newer than the local configuration.
        {"key-x", 2401, identity_verdict::uncertain},
        {"key-x", 60000, identity_verdict::uncertain},
    }));
    INFO(each.m_key << ' ' << each.m_age_ms);
    const auto found = identify(directory, {each.m_key, {}},
                                milliseconds(each.m_age_ms), limits);
    CHECK(found.m_verdict == each.m_expected);
    CHECK((found.m_workspace != nullptr) ==
          (each.m_expected == identity_verdict::known));
    CHECK(
        identify(directory, {{}, "no credentials"}, milliseconds::max(), limits)
            .m_verdict == identity_verdict::malformed);
}

TEST_CASE("ids of two workspaces never collide", "[tenancy]")
{
    const workspace first{"a", {}, {}};
    const workspace second{"ab", {}, {}};
    CHECK(scoped_id(nullptr, "x") == "x");
    CHECK(scoped_id(&first, "").empty());
    CHECK(scoped_id(&first, "bx") != scoped_id(&second, "x"));
    CHECK(scoped_id(&first, "x") != scoped_id(nullptr, "x"));
}
