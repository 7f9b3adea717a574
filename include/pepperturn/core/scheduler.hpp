// SPDX-License-Identifier: BSL-1.0
/// \file
/// The decision core of one VM: tables of entities and the functions
/// ("systems") that update them. No I/O, no threads, no clock of its own.
#pragma once

#include "pepperturn/core/tables.hpp"

namespace pepperturn {

class scheduler
{
public:
    /// \param self        this VM's id
    /// \param incarnation differs for each start of the process
    /// \param partitions  deployment constant
    /// \param seed        seeds all random choices
    scheduler(std::string self, std::uint64_t incarnation,
              std::uint32_t partitions, const clock& time, std::uint64_t seed);

    /// Applies one event; call tick() afterwards to get the resulting
    /// commands.
    void handle(const event& input);

    /// Runs all systems; returns the commands to carry out.
    [[nodiscard]] command_list tick();

    /// Replaces the policy. Queued calls keep the priority class that they
    /// were queued with.
    void set_policy(policy replacement);

    [[nodiscard]] const core_state& state() const
    {
        return m_state;
    }
    [[nodiscard]] heartbeat make_heartbeat() const;
    /// True once a planned stop has handed over all partitions.
    [[nodiscard]] bool handed_over() const;

private:
    void apply_deployment(const deployment& next);

    const clock& m_clock;
    core_state m_state;
    command_list m_out;
};

} // namespace pepperturn
