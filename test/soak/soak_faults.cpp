// SPDX-License-Identifier: BSL-1.0
// Faults of the soak: signals, restarts, disks and connections.
#include "soak/soak.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <csignal>

namespace pepperturn::soak {

task<> soak::fault_vm(vm& each)
{
    each.m_faulted = true;
    auto& process = each.m_process;
    const auto short_while = milliseconds(100 + draw(1500));
    const auto kind = draw(each.m_storage ? 4 : 5);
    note("fault " + std::to_string(kind) + " " + process.m_name + " for " +
         std::to_string(short_while.count()) + " ms");
    switch (kind)
    {
    case 0:
        kill_and_wait(process);
        co_await sleep_for(m_io, short_while);
        start_vm(each);
        break;
    case 1:
        send_signal(process, SIGSTOP);
        co_await sleep_for(m_io, short_while);
        send_signal(process, SIGCONT);
        break;
    case 2:
        send_signal(process, SIGHUP);
        break;
    case 3:
        if (each.m_storage)
        {
            kill_and_wait(process);
            std::filesystem::remove_all(process.m_data_folder);
            co_await sleep_for(m_io, short_while);
            start_vm(each);
        }
        else
            send_signal(process, SIGHUP);
        break;
    default: {
        send_signal(process, SIGTERM);
        constexpr milliseconds grace{5000};
        const auto end = std::chrono::steady_clock::now() + grace;
        while (!has_ended(process) && std::chrono::steady_clock::now() < end)
            co_await sleep_for(m_io, milliseconds(20));
        if (!has_ended(process))
        {
            m_rules.fail(process.m_name + " did not end within its grace");
            kill_and_wait(process);
        }
        start_vm(each);
        break;
    }
    }
    // A wiped disk counts as lost until its copies are back.
    constexpr milliseconds recovery{6000};
    if (each.m_storage)
        co_await sleep_for(m_io, kind == 3 ? recovery : milliseconds(1000));
    each.m_faulted = false;
    --m_active_faults;
}

task<> soak::fault_network()
{
    const auto span = milliseconds(200 + draw(1800));
    const auto kind = draw(4);
    note("fault network " + std::to_string(kind) + " for " +
         std::to_string(span.count()) + " ms");
    if (kind == 0)
    {
        m_store.set_down(true);
        co_await sleep_for(m_io, span);
        m_store.set_down(false);
    }
    else if (kind == 1)
        put_config();
    else
    {
        auto& proxy = *m_proxies[draw(m_proxies.size())];
        if (kind == 2)
            proxy.reset_all();
        else
        {
            proxy.set_mode(static_cast<proxy_mode>(1 + draw(3)));
            co_await sleep_for(m_io, span);
            proxy.set_mode(proxy_mode::pass);
            proxy.reset_all();
        }
    }
    --m_active_faults;
}

task<> soak::inject_faults()
{
    while (true)
    {
        co_await sleep_for(m_io, milliseconds(50 + draw(700)));
        if (m_faults_end)
            co_return;
        auto& each = *m_vms[draw(m_vms.size())];
        const bool storage_hurt =
            std::any_of(m_vms.begin(), m_vms.end(), [](const auto& row) {
                return row->m_storage && row->m_faulted;
            });
        // A fault counts from here: it begins only when the loop runs it.
        ++m_active_faults;
        if (draw(3) == 0)
            spawn(m_io, "soak.network", fault_network());
        else if (!each.m_faulted && !(each.m_storage && storage_hurt))
            spawn(m_io, "soak.vm", fault_vm(each));
        else
            --m_active_faults;
    }
}

task<> soak::lose_power(std::size_t lost_disks)
{
    note("fault power of all, disks lost " + std::to_string(lost_disks));
    for (const auto& each : m_vms)
        send_signal(each->m_process, SIGKILL);
    for (const auto& each : m_vms)
        kill_and_wait(each->m_process);
    const auto first = draw(storage_vms);
    for (std::size_t i = 0; i < lost_disks; ++i)
        std::filesystem::remove_all(
            m_vms[(first + i) % storage_vms]->m_process.m_data_folder);
    co_await sleep_for(m_io, milliseconds(200 + draw(500)));
    int number = 0;
    for (const auto& each : m_vms)
        write_settings(*each, ++number, false);
    std::vector<vm*> order;
    order.reserve(m_vms.size());
    for (const auto& each : m_vms)
        order.push_back(each.get());
    std::shuffle(order.begin(), order.end(), m_random);
    for (auto* each : order)
    {
        start_vm(*each);
        co_await sleep_for(m_io, milliseconds(draw(60)));
    }
}

} // namespace pepperturn::soak
