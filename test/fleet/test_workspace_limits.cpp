// SPDX-License-Identifier: BSL-1.0
// Freshness and limits of workspaces over real connections: storage VMs, a
// stand-in of the store, and an edge VM's requests.
#include "pepperturn/cluster/freshness_poller.hpp"
#include "pepperturn/forward/quota_client.hpp"

#include "support/fleet/storage_fixture.hpp"

namespace {

using namespace pepperturn;
using namespace pepperturn::test;

constexpr const char* keyed_config =
    R"({"version":1,"routes":[],"services":[],"tenants":[
        {"name":"a","api_keys":["k"],"rate_per_s":40,"burst":40}]})";
constexpr quota_request one_request{7, {40, 40}, 1, 0, false, false};
/// Short, so that the test can wait for a takeover.
constexpr std::uint32_t short_revoke_ms = 2500;

/// A fleet whose callers have keys.
class keyed_fleet : public storage_fixture
{
public:
    keyed_fleet()
        : m_quota(m_io, m_time, m_links),
          m_freshness(m_io, m_time, m_links,
                      {[this] { return watching(); },
                       [this] { return m_state.m_config_revision; },
                       [](const std::string&, std::uint64_t) {},
                       milliseconds(1500)})
    {
        m_revoke_ms = short_revoke_ms;
        m_store.put("op/config", keyed_config);
        for (const char* name : {"vm-0", "vm-1", "vm-2"})
            add(name);
        m_freshness.set_enabled(true);
    }

    [[nodiscard]] std::vector<std::string> watching() const
    {
        std::vector<std::string> out;
        for (const auto& [name, vm] : m_vms)
        {
            if (m_links.watches_store(name))
                out.push_back(name);
        }
        return out;
    }
    /// Runs the loop and the VMs' periodic work until \p done.
    bool run(const std::function<bool()>& done)
    {
        constexpr milliseconds tick{50};
        auto next = m_time.now();
        return run_until(m_io, [&] {
            if (m_time.now() >= next)
            {
                next = m_time.now() + tick;
                for (const auto& [name, vm] : m_vms)
                    vm->m_node->tick();
                m_quota.set_members(members_of(m_state.m_views));
            }
            return done();
        });
    }
    [[nodiscard]] bool fresher_than(milliseconds age) const
    {
        return age_of(m_freshness.freshness().m_config_confirmed_at,
                      m_time.now()) < age;
    }
    quota_grant take()
    {
        std::optional<quota_grant> out;
        asio::co_spawn(m_io, m_quota.acquire(one_request),
                       [&](const std::exception_ptr&, const quota_grant& got) {
                           out = got;
                       });
        run([&] { return out.has_value(); });
        return out.value_or(quota_grant{});
    }
    /// Requests grants until the outcome is \p wanted.
    bool take_until(quota_outcome wanted)
    {
        const auto end = m_time.now() + default_timeout;
        while (m_time.now() < end)
        {
            if (take().m_outcome == wanted)
                return true;
            const auto pause = m_time.now() + milliseconds(20);
            run([&] { return m_time.now() >= pause; });
        }
        return false;
    }
    void restart_all()
    {
        for (const char* name : {"vm-0", "vm-1", "vm-2"})
            restart(name);
    }

    quota_client m_quota;
    freshness_poller m_freshness;
};

/// Grants of a limit by the owner that made them.
struct grants_by_owner
{
    struct owner
    {
        instant m_began{};
        /// Within a short time of its first grant.
        int m_at_first = 0;
    };
    /// Less than the quarter second after which an owner has more capacity.
    static constexpr milliseconds first_moments{200};

    /// Requests grants until there are none.
    void take_all(keyed_fleet& fleet)
    {
        for (m_last = fleet.take(); m_last.m_outcome == quota_outcome::granted;
             m_last = fleet.take())
        {
            const auto now = fleet.m_time.now();
            auto& row =
                m_owners.try_emplace(m_last.m_owner, owner{now}).first->second;
            row.m_at_first += elapsed(row.m_began, now) < first_moments ? 1 : 0;
            ++m_total;
        }
    }
    /// Goes on until the first moments of all owners are over.
    bool take_until_all_began(keyed_fleet& fleet)
    {
        constexpr milliseconds pause{10};
        const auto end = fleet.m_time.now() + default_timeout;
        while (fleet.m_time.now() < end)
        {
            const auto next = fleet.m_time.now() + pause;
            fleet.run([&] { return fleet.m_time.now() >= next; });
            take_all(fleet);
            if (m_owners.size() == target_owner_count && all_began(fleet))
                return true;
        }
        return false;
    }
    /// When the first owner granted for the first time.
    [[nodiscard]] instant began() const
    {
        auto out = instant::max();
        for (const auto& [name, row] : m_owners)
            out = std::min(out, row.m_began);
        return out;
    }
    [[nodiscard]] bool all_began(keyed_fleet& fleet) const
    {
        return std::all_of(
            m_owners.begin(), m_owners.end(), [&](const auto& row) {
                return elapsed(row.second.m_began, fleet.m_time.now()) >=
                       first_moments;
            });
    }

    std::map<std::string, owner> m_owners;
    quota_grant m_last;
    int m_total = 0;
};

} // namespace

TEST_CASE("an edge VM is fresh, also after all VMs were restarted",
          "[fleet][tenancy]")
{
    keyed_fleet fleet;
    const milliseconds fresh{1500};
    REQUIRE(fleet.run([&] { return fleet.fresher_than(fresh); }));
    // Without the store no age decreases.
    fleet.m_store.set_down(true);
    const auto before = fleet.m_freshness.freshness().m_config_confirmed_at;
    REQUIRE(fleet.run([&] { return !fleet.fresher_than(fresh); }));
    CHECK(fleet.m_freshness.freshness().m_config_confirmed_at - before <
          milliseconds(1200));
    fleet.m_store.set_down(false);
    REQUIRE(fleet.run([&] { return fleet.fresher_than(fresh); }));
    fleet.restart_all();
    const auto restarted = fleet.m_time.now();
    CHECK(fleet.run([&] {
        return fleet.m_freshness.freshness().m_config_confirmed_at > restarted;
    }));
}

TEST_CASE("a limit over three owners, and one that is lost", "[fleet][tenancy]")
{
    keyed_fleet fleet;
    // No owner grants before the previous owners' time has surely expired.
    REQUIRE(fleet.run([&] { return fleet.states() == "vm-0Fvm-1Fvm-2F"; }));
    CHECK(fleet.take().m_outcome == quota_outcome::not_owner);
    // Each owner counts from when it learnt that it is one, so they do not
    // begin to grant in the same instant.
    grants_by_owner owners;
    REQUIRE(owners.take_until_all_began(fleet));
    CHECK(owners.m_last.m_outcome == quota_outcome::over_limit);
    CHECK(owners.m_last.m_retry_after > milliseconds(0));
    // New owners assume the maximum that may have been granted before them;
    // capacity becomes available every quarter second.
    const auto took = to_seconds(fleet.m_time.now() - owners.began());
    const double most = max_in_window({40, 40}, 1, {});
    CHECK(owners.m_total <= std::min(most, most - 40 * 5 + 40 * (took + 0.5)));
    for (const auto& [name, row] : owners.m_owners)
    {
        INFO(name);
        CHECK(row.m_at_first >= 40 / 4 / static_cast<int>(target_owner_count));
    }
    // The remaining owners take over the lost owner's share.
    fleet.lose("vm-1");
    const auto pause = fleet.m_time.now() + milliseconds(400);
    fleet.run([&] { return fleet.m_time.now() >= pause; });
    CHECK(fleet.take_until(quota_outcome::granted));
}

TEST_CASE("after a restart of all owners a limit recovers gradually",
          "[fleet][tenancy]")
{
    keyed_fleet fleet;
    REQUIRE(fleet.run([&] { return fleet.states() == "vm-0Fvm-1Fvm-2F"; }));
    REQUIRE(fleet.take_until(quota_outcome::granted));
    const auto restarted = fleet.m_time.now();
    fleet.restart_all();
    REQUIRE(fleet.run([&] { return fleet.watching().size() == 3; }));
    // They know from their disks that they owned the shares.
    REQUIRE(fleet.take_until(quota_outcome::granted));
    int granted = 1;
    while (fleet.take().m_outcome == quota_outcome::granted)
        ++granted;
    // Earlier grants leave the window step by step.
    const auto took = to_seconds(fleet.m_time.now() - restarted);
    CHECK(granted <= 40 * took + 1);
}
