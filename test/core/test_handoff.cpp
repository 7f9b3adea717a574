// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/core/scheduler.hpp"
#include "pepperturn/core/systems.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace pepperturn;

namespace {

constexpr milliseconds tick_interval{50};

/// A VM that owns the only partition until it hands it over to another one.
class handing_vm
{
public:
    handing_vm() : m_core("a", 1, 1, m_time, 7)
    {
        m_core.handle(deployment_changed{});
        m_core.handle(vms_listed{{{"a", "", "", false}}, {}});
        REQUIRE(run_until(partition_role::owner));
    }

    /// Another VM starts that the partition is better placed on.
    void add_preferred_vm()
    {
        for (char name = 'b'; m_other.empty(); ++name)
        {
            m_other = std::string(1, name);
            m_core.handle(vms_listed{
                {{"a", "", "", false}, {m_other, "", "", false}}, {}});
            beat();
            if (detail::preferred_owner(m_core.state(), 0) != m_other)
                m_other.clear();
        }
    }
    void set_store_down(bool down)
    {
        m_store_down = down;
    }
    /// Runs ticks until the partition has this role.
    bool run_until(partition_role role)
    {
        constexpr int max_ticks = 2000;
        for (int i = 0; i < max_ticks && this->role() != role; ++i)
            step();
        return this->role() == role;
    }
    void run_for(milliseconds span)
    {
        const auto end = m_time.now() + span;
        while (m_time.now() < end)
            step();
    }
    [[nodiscard]] partition_role role() const
    {
        return m_core.state().m_partitions.front().m_role;
    }
    [[nodiscard]] bool store_noticed_down() const
    {
        return m_core.state().m_store_down;
    }
    /// Whether a call that is submitted now is sent to another VM.
    bool is_redirected(const std::string& id)
    {
        call_submitted submitted;
        submitted.m_request.m_id = id;
        submitted.m_request.m_entry_vm = "a";
        submitted.m_request.m_session.m_program = {"w", "p", "p"};
        m_core.handle(submitted);
        const auto commands = m_core.tick();
        for (const auto& each : commands)
            answer(each);
        return std::any_of(
            commands.begin(), commands.end(), [](const command& each) {
                const auto* sent = std::get_if<send_decision>(&each);
                return sent != nullptr &&
                       std::holds_alternative<redirect>(sent->m_decision);
            });
    }
    void stop()
    {
        m_core.handle(stop_requested{});
    }

private:
    void beat()
    {
        if (m_other.empty())
            return;
        heartbeat out;
        out.m_vm = m_other;
        out.m_incarnation = 1;
        m_core.handle(out);
    }
    void step()
    {
        m_time.advance(tick_interval);
        beat();
        for (const auto& each : m_core.tick())
            answer(each);
    }
    void answer(const command& what)
    {
        if (std::holds_alternative<read_log>(what) && !m_store_down)
            m_core.handle(log_read_completed{0, log_image{}});
        const auto* create = std::get_if<create_entries>(&what);
        if (create == nullptr)
            return;
        for (const auto& entry : create->m_entries)
        {
            entry_write_completed done;
            done.m_partition = entry.m_partition;
            done.m_seq = entry.m_seq;
            done.m_status =
                m_store_down ? create_status::unknown : create_status::created;
            m_core.handle(done);
        }
    }

    manual_clock m_time;
    scheduler m_core;
    std::string m_other;
    bool m_store_down = false;
};

} // namespace

// An outage of the store that begins while a partition is handed over left its
// calls without an owner until the store was back.
TEST_CASE("a handover that the store does not record is withdrawn", "[core]")
{
    handing_vm vm;
    vm.add_preferred_vm();
    vm.set_store_down(true);
    REQUIRE(vm.run_until(partition_role::handing_off));
    CHECK(vm.is_redirected("first"));
    REQUIRE(vm.run_until(partition_role::owner));
    CHECK(vm.store_noticed_down());
    CHECK_FALSE(vm.is_redirected("second"));
    constexpr milliseconds outage{10000};
    vm.run_for(outage);
    CHECK(vm.role() == partition_role::owner);
    // The record of the first handover, once it is written, ends nothing.
    vm.set_store_down(false);
    constexpr milliseconds several_writes{1000};
    vm.run_for(several_writes);
    CHECK(vm.role() == partition_role::owner);
    CHECK(vm.run_until(partition_role::idle));
}

TEST_CASE("a VM that stops does not withdraw its handovers", "[core]")
{
    handing_vm vm;
    vm.add_preferred_vm();
    vm.set_store_down(true);
    REQUIRE(vm.run_until(partition_role::handing_off));
    vm.stop();
    constexpr milliseconds outage{10000};
    vm.run_for(outage);
    CHECK(vm.store_noticed_down());
    CHECK(vm.role() == partition_role::handing_off);
    vm.set_store_down(false);
    CHECK(vm.run_until(partition_role::idle));
}
