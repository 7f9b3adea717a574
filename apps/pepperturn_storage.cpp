// SPDX-License-Identifier: BSL-1.0
/// \file
/// Storage VM: keeps turns and budgets on its disk.
#include "platform/daemon.hpp"
#include "platform/decode.hpp"

#include "pepperturn/fleet/storage_node.hpp"

int main(int argc, char** argv)
{
    using namespace pepperturn;
    return platform::run_daemon(
        argc, argv, "pepperturn-storage",
        [](asio::io_context& io, const pepperturn::clock& time,
           const fleet_settings& settings, platform::cluster_source& source) {
            const auto node = std::make_shared<storage_node>(
                io, time, settings,
                state_decoders{platform::decode_config,
                               platform::decode_runner},
                source);
            return platform::daemon_hooks{
                [node](std::string& reason) { return node->start(reason); },
                [node] { node->stop(); }, [node] { node->tick(); }};
        });
}
