// SPDX-License-Identifier: BSL-1.0
/// \file
/// A replica set of storage VMs without clocks, disks or links: views, writes,
/// copies and losses, decided by the production functions.
#pragma once

#include "pepperturn/cluster/membership.hpp"

#include "support/fleet/member_letters.hpp"

#include <algorithm>
#include <bit>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pepperturn::test {

struct modelled_vm
{
    std::uint64_t m_disk = 0;
    bool m_alive = true;
    /// Partitioned: it reaches the platform's store, but no other VM.
    bool m_partitioned = false;
    /// Its disk was emptied, and it does not have its copies yet.
    bool m_wiped = false;
    bool m_retire = false;
    /// It is not expected to return.
    bool m_presumed_gone = false;
    /// It was down, or is new, and has not had the time to catch up since.
    bool m_catching_up = false;
    /// It has been unresponsive long enough for the others to act.
    bool m_unresponsive_long = false;
    std::set<int> m_writes;
    std::uint64_t m_caught_up_at = 0;
    std::uint64_t m_gathered_at = 0;
    /// Epoch in which all data of another VM was copied.
    std::map<std::string, std::uint64_t> m_copied_at;
    std::map<std::string, std::uint64_t> m_copied_by;
};

/// The storage VMs of a replica set; a new view reaches all of them at once.
class modelled_set
{
public:
    modelled_set(std::size_t size, std::uint32_t disk_losses)
        : m_disk_losses(disk_losses)
    {
        for (std::size_t i = 0; i < size; ++i)
            add();
        settle();
    }

    void add()
    {
        auto& vm = m_vms["m" + std::to_string(m_vms.size())];
        vm.m_disk = ++m_last_disk;
    }

    void decide(const std::string& name)
    {
        auto& vm = m_vms.at(name);
        if (!vm.m_alive)
            return;
        membership_facts facts;
        facts.m_self = {name, name + ":1", "z", vm.m_disk,
                        member_state::joining};
        facts.m_bootstrap = m_view.m_members.empty();
        facts.m_view_known = true;
        facts.m_retire = vm.m_retire;
        facts.m_caught_up_at = vm.m_caught_up_at;
        facts.m_disk_losses = m_disk_losses;
        for (const auto& [other, epoch] : vm.m_copied_by)
        {
            if (epoch == m_view.m_epoch)
                facts.m_copied_by.insert(other);
        }
        for (const auto& row : m_view.m_members)
        {
            // A VM outside the set hears nobody.
            if (row.m_name == name || find_member(m_view, name) == nullptr)
                continue;
            const auto& other = m_vms.at(row.m_name);
            // A VM that reaches nobody treats nobody as unresponsive.
            if (other.m_unresponsive_long && !vm.m_partitioned)
                facts.m_unresponsive.insert(row.m_name);
            if (other.m_presumed_gone && !vm.m_partitioned)
                facts.m_gone.insert(row.m_name);
            if (vm.m_partitioned || other.m_partitioned || !other.m_alive)
                facts.m_unreachable.insert(row.m_name);
        }
        auto next = desired_view(m_view, facts);
        if (!next)
            return;
        next->m_epoch = m_view.m_epoch + 1;
        m_view = *std::move(next);
        m_trace += name + " changes the view: " + describe() + "| ";
    }

    /// Copies from \p source to \p name if its copy plan needs that.
    void copy(const std::string& name, const std::string& source)
    {
        auto& vm = m_vms.at(name);
        const auto epoch = m_view.m_epoch;
        if (!vm.m_alive || !is_member(name) ||
            !should_copy(m_view, name, vm.m_caught_up_at, m_disk_losses))
            return;
        const auto plan = plan_copy(m_view, name, m_disk_losses);
        const auto in = [&](const std::vector<std::string>& names) {
            return std::find(names.begin(), names.end(), source) != names.end();
        };
        auto& from = m_vms.at(source);
        if ((in(plan.m_required) || in(plan.m_any)) && from.m_alive &&
            !from.m_partitioned && !vm.m_partitioned && is_member(source) &&
            (!plan.m_gathered || from.m_gathered_at == epoch))
        {
            vm.m_writes.insert(from.m_writes.begin(), from.m_writes.end());
            vm.m_copied_at[source] = epoch;
            from.m_copied_by[name] = epoch;
        }
        const auto done = [&](const std::string& other) {
            const auto found = vm.m_copied_at.find(other);
            return found != vm.m_copied_at.end() && found->second == epoch;
        };
        const auto count =
            std::count_if(plan.m_any.begin(), plan.m_any.end(), done);
        if (std::all_of(plan.m_required.begin(), plan.m_required.end(), done) &&
            count >= static_cast<std::ptrdiff_t>(plan.m_any_needed))
        {
            if (vm.m_caught_up_at != epoch)
                m_trace += name + " has copied| ";
            vm.m_caught_up_at = epoch;
            vm.m_gathered_at = epoch;
        }
    }

    /// A write that reaches the members of \p mask; true: acknowledged.
    bool write(std::uint32_t mask)
    {
        const int id = m_next_write++;
        std::uint32_t count = 0;
        for (std::size_t i = 0; i < m_view.m_members.size(); ++i)
        {
            const auto& row = m_view.m_members[i];
            if ((mask >> i & 1U) == 0 || !answers(row) ||
                !takes_writes(row.m_state))
                continue;
            m_vms.at(row.m_name).m_writes.insert(id);
            ++count;
        }
        const bool kept = count >= quorums_of(m_view, m_disk_losses).m_write;
        if (kept)
        {
            m_acknowledged.insert(id);
            m_trace +=
                "write " + std::to_string(id) + " on " + holders_of(id) + "| ";
        }
        return kept;
    }

    /// Current losses: VMs that are down or do not have their copies yet.
    [[nodiscard]] std::uint32_t losses() const
    {
        std::uint32_t count = 0;
        for (const auto& [name, vm] : m_vms)
        {
            if (m_replaced.contains(name))
                continue;
            const auto* row = find_member(m_view, name);
            const bool whole = row != nullptr && is_member(name) &&
                               row->m_state == member_state::full;
            const bool leaves = row == nullptr && vm.m_retire;
            if (!vm.m_alive || vm.m_partitioned || (!whole && !leaves))
                ++count;
        }
        // A permanently lost VM counts until it is out of the view.
        for (const auto& name : m_replaced)
            count += find_member(m_view, name) != nullptr ? 1 : 0;
        return count;
    }

    void kill(const std::string& name, bool wipe, bool for_good)
    {
        auto& vm = m_vms.at(name);
        if (m_replaced.contains(name) || !may_be_lost(wipe || for_good) ||
            (for_good && m_series && is_last_member(name)))
            return;
        vm.m_alive = false;
        vm.m_unresponsive_long = false;
        vm.m_catching_up = true;
        m_trace += name + (wipe ? " wiped" : " down") +
                   (for_good ? " for good| " : "| ");
        if (wipe)
            wipe_disk(vm);
        if (for_good)
        {
            m_replaced.insert(name);
            add();
            m_vms.rbegin()->second.m_catching_up = true;
        }
    }
    void partition(const std::string& name)
    {
        if (m_replaced.contains(name) || !may_be_lost(false))
            return;
        m_vms.at(name).m_partitioned = true;
        m_vms.at(name).m_catching_up = true;
        m_trace += name + " cut| ";
    }
    /// From now on more VMs may be down at once than are tolerated, as long as
    /// no more disks are lost.
    void allow_overlaps()
    {
        m_overlaps = true;
    }
    /// From now on a VM no longer counts as lost once it has had the time to
    /// catch up, whether or not it has its copies.
    void allow_series()
    {
        m_series = true;
    }
    /// The time to catch up has passed.
    void end_catching_up(const std::string& name)
    {
        auto& vm = m_vms.at(name);
        if (!vm.m_alive || vm.m_partitioned || !vm.m_catching_up)
            return;
        vm.m_catching_up = false;
        m_trace += name + " has had its time| ";
    }
    /// A VM that was lost for good has been silent for very long.
    void presume_gone(const std::string& name)
    {
        auto& vm = m_vms.at(name);
        if (!m_replaced.contains(name) || vm.m_presumed_gone)
            return;
        vm.m_unresponsive_long = true;
        vm.m_presumed_gone = true;
        m_trace += name + " is presumed gone| ";
    }
    /// The process ends and starts again, with its disk.
    void restart(const std::string& name)
    {
        auto& vm = m_vms.at(name);
        if (!vm.m_alive)
            return;
        m_trace += name + " restarts| ";
        vm.m_caught_up_at = 0;
        vm.m_gathered_at = 0;
        vm.m_copied_at.clear();
        vm.m_copied_by.clear();
        // Those that copied from it notice that it reconnects.
        for (auto& [other, row] : m_vms)
        {
            if (row.m_copied_at.erase(name) > 0)
                row.m_caught_up_at = 0;
        }
    }
    void revive(const std::string& name)
    {
        if (m_replaced.contains(name))
            return;
        auto& vm = m_vms.at(name);
        m_trace += vm.m_alive && !vm.m_partitioned ? "" : name + " back| ";
        vm.m_alive = true;
        vm.m_partitioned = false;
        vm.m_unresponsive_long = false;
    }
    void exceed_timeout(const std::string& name)
    {
        auto& vm = m_vms.at(name);
        vm.m_unresponsive_long = !vm.m_alive || vm.m_partitioned;
    }
    void retire(const std::string& name)
    {
        m_vms.at(name).m_retire = true;
    }

    /// Runs everything the members do on their own until nothing changes.
    void settle()
    {
        constexpr int rounds = 40;
        for (int i = 0; i < rounds; ++i)
        {
            for (const auto& name : names())
            {
                for (const auto& other : names())
                    copy(name, other);
                decide(name);
            }
        }
    }

    /// Ends the losses: all VMs that are not permanently lost return.
    void recover()
    {
        for (const auto& name : names())
            revive(name);
        for (const auto& name : names())
            exceed_timeout(name);
        settle();
    }

    /// As recover(); those that were lost for good are presumed gone in the
    /// end.
    void recover_from_series()
    {
        recover();
        for (const auto& name : names())
            presume_gone(name);
        settle();
    }

    /// True if every read quorum that replies sees every acknowledged write.
    [[nodiscard]] bool sees_all() const
    {
        return sees_all(m_acknowledged);
    }
    /// The same for writes that are on some disk.
    [[nodiscard]] bool sees_surviving() const
    {
        return sees_all(surviving());
    }
    /// True if an acknowledged write would be reported absent.
    [[nodiscard]] bool denies() const
    {
        std::set<int> seen;
        int full = 0;
        int all = 0;
        for (const auto& row : m_view.m_members)
        {
            if (row.m_state != member_state::full &&
                row.m_state != member_state::leaving)
                continue;
            if (!answers(row))
                return false;
            full += row.m_state == member_state::full ? 1 : 0;
            ++all;
            const auto& held = m_vms.at(row.m_name).m_writes;
            seen.insert(held.begin(), held.end());
        }
        return m_view.m_gap_epoch == 0 && is_read_quorum(full, all) &&
               !std::includes(seen.begin(), seen.end(), m_acknowledged.begin(),
                              m_acknowledged.end());
    }
    /// Copies of the surviving write that has the fewest, on members that can
    /// be asked.
    [[nodiscard]] std::size_t fewest_copies() const
    {
        std::size_t fewest = m_vms.size();
        for (const int id : surviving())
        {
            const auto copies = std::count_if(
                m_view.m_members.begin(), m_view.m_members.end(),
                [&](const member& row) {
                    return answers(row) &&
                           m_vms.at(row.m_name).m_writes.contains(id);
                });
            fewest = std::min(fewest, static_cast<std::size_t>(copies));
        }
        return fewest;
    }

    /// True if turns can be begun and stored.
    [[nodiscard]] bool serves() const
    {
        int full = 0;
        int leaving = 0;
        std::uint32_t writers = 0;
        for (const auto& row : m_view.m_members)
        {
            if (!answers(row))
                continue;
            full += row.m_state == member_state::full ? 1 : 0;
            leaving += row.m_state == member_state::leaving ? 1 : 0;
            writers += takes_writes(row.m_state) ? 1 : 0;
        }
        return is_read_quorum(full, full + leaving) &&
               writers >= quorums_of(m_view, m_disk_losses).m_write;
    }

    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> out;
        out.reserve(m_vms.size());
        for (const auto& [name, vm] : m_vms)
            out.push_back(name);
        return out;
    }
    /// Everything that can influence later steps; epochs and disks only by
    /// whether they are current.
    [[nodiscard]] std::string digest() const
    {
        const auto epoch = m_view.m_epoch;
        std::string out = describe();
        for (const auto& [name, vm] : m_vms)
        {
            out += name;
            for (const bool flag :
                 {vm.m_alive, vm.m_partitioned, vm.m_wiped, vm.m_retire,
                  vm.m_unresponsive_long, vm.m_presumed_gone,
                  m_series && vm.m_catching_up, m_replaced.contains(name),
                  is_member(name), vm.m_caught_up_at == epoch,
                  vm.m_gathered_at == epoch})
                out += flag ? '1' : '0';
            for (const int id : vm.m_writes)
                out += 'w' + std::to_string(id);
            for (const auto& [other, at] : vm.m_copied_at)
                out += at == epoch ? '<' + other : "";
            for (const auto& [other, at] : vm.m_copied_by)
                out += at == epoch ? '>' + other : "";
        }
        return out + (m_acknowledged.empty() ? "" : "!");
    }
    [[nodiscard]] int writes() const
    {
        return m_next_write;
    }
    [[nodiscard]] std::size_t retiring() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_vms.begin(), m_vms.end(),
                          [](const auto& row) { return row.second.m_retire; }));
    }
    [[nodiscard]] const std::string& trace() const
    {
        return m_trace;
    }
    [[nodiscard]] std::string describe() const
    {
        std::string out;
        for (const auto& row : m_view.m_members)
        {
            out += row.m_name;
            out += letter_of(row.m_state);
            out += row.m_intact ? "n" : "";
            out += row.m_disk == 0 ? "0" : "";
            out += answers(row) ? " " : "! ";
        }
        return out + (m_view.m_gap_epoch == 0 ? "" : "gap ");
    }

private:
    [[nodiscard]] std::set<int> surviving() const
    {
        std::set<int> out;
        for (const int id : m_acknowledged)
        {
            for (const auto& [name, vm] : m_vms)
            {
                if (!m_replaced.contains(name) && vm.m_writes.contains(id))
                    out.insert(id);
            }
        }
        return out;
    }
    [[nodiscard]] bool sees_all(const std::set<int>& writes) const
    {
        std::vector<const std::set<int>*> readers;
        std::uint32_t full = 0;
        for (const auto& row : m_view.m_members)
        {
            if (row.m_state != member_state::full &&
                row.m_state != member_state::leaving)
                continue;
            if (!answers(row))
                continue;
            if (row.m_state == member_state::full)
                full |= 1U << readers.size();
            readers.push_back(&m_vms.at(row.m_name).m_writes);
        }
        for (std::uint32_t set = 0; set < 1U << readers.size(); ++set)
        {
            if (is_read_quorum(std::popcount(set & full), std::popcount(set)) &&
                !sees_all(readers, set, writes))
                return false;
        }
        return true;
    }
    [[nodiscard]] std::string holders_of(int id) const
    {
        std::string out;
        for (const auto& [name, vm] : m_vms)
            out += vm.m_writes.contains(id) ? name + ' ' : "";
        return out;
    }
    [[nodiscard]] bool is_read_quorum(int full, int all) const
    {
        const auto quorums = quorums_of(m_view, m_disk_losses);
        return full >= static_cast<int>(quorums.m_read) &&
               all >= static_cast<int>(quorums.m_read_all);
    }
    [[nodiscard]] bool is_member(const std::string& name) const
    {
        const auto* row = find_member(m_view, name);
        return row != nullptr && row->m_disk == m_vms.at(name).m_disk;
    }
    [[nodiscard]] bool answers(const member& row) const
    {
        const auto& vm = m_vms.at(row.m_name);
        return vm.m_alive && !vm.m_partitioned && is_member(row.m_name);
    }
    /// True if all other members were lost for good: nobody who could tell what
    /// the set held, or that it held nothing, would be left.
    [[nodiscard]] bool is_last_member(const std::string& name) const
    {
        return std::all_of(m_view.m_members.begin(), m_view.m_members.end(),
                           [&](const member& row) {
                               return row.m_name == name ||
                                      m_replaced.contains(row.m_name);
                           });
    }
    /// Lost disks whose copies have not been restored yet.
    [[nodiscard]] std::uint32_t lost_disks() const
    {
        std::uint32_t count = 0;
        for (const auto& [name, vm] : m_vms)
        {
            if (m_replaced.contains(name))
                count += find_member(m_view, name) != nullptr ? 1 : 0;
            else if (vm.m_wiped)
            {
                const auto* row = find_member(m_view, name);
                const bool whole = row != nullptr && is_member(name) &&
                                   row->m_state == member_state::full;
                count += whole ? 0 : 1;
            }
        }
        return count;
    }
    /// VMs that are down or have not had the time to catch up; a successor
    /// counts in place of the VM that is gone.
    [[nodiscard]] std::uint32_t losses_in_series() const
    {
        return static_cast<std::uint32_t>(
            std::count_if(m_vms.begin(), m_vms.end(), [&](const auto& row) {
                const auto& vm = row.second;
                return !m_replaced.contains(row.first) &&
                       (!vm.m_alive || vm.m_partitioned || vm.m_catching_up);
            }));
    }
    [[nodiscard]] bool may_be_lost(bool with_disk) const
    {
        if (m_series)
            return losses_in_series() < m_disk_losses;
        if (!m_overlaps)
            return losses() < m_disk_losses;
        return !with_disk || lost_disks() < m_disk_losses;
    }
    [[nodiscard]] bool
    sees_all(const std::vector<const std::set<int>*>& readers,
             std::uint32_t set, const std::set<int>& writes) const
    {
        return std::all_of(writes.begin(), writes.end(), [&](int id) {
            for (std::size_t i = 0; i < readers.size(); ++i)
            {
                if ((set >> i & 1U) != 0 && readers[i]->contains(id))
                    return true;
            }
            return false;
        });
    }
    void wipe_disk(modelled_vm& vm)
    {
        vm.m_disk = ++m_last_disk;
        vm.m_wiped = true;
        vm.m_writes.clear();
        vm.m_caught_up_at = 0;
        vm.m_gathered_at = 0;
        vm.m_copied_at.clear();
        vm.m_copied_by.clear();
    }

    std::uint32_t m_disk_losses;
    std::string m_trace;
    cluster_view m_view;
    std::map<std::string, modelled_vm> m_vms;
    std::set<std::string> m_replaced;
    std::set<int> m_acknowledged;
    std::uint64_t m_last_disk = 0;
    int m_next_write = 0;
    bool m_overlaps = false;
    bool m_series = false;
};

} // namespace pepperturn::test
