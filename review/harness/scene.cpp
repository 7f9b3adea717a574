// SPDX-License-Identifier: BSL-1.0
#include "scene.hpp"

#include <cstdlib>
#include <cstring>

namespace review {

std::string turns_config(unsigned version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"turns","host":"shop.example",)"
           R"("path_prefix":"/turn/","kind":"streaming","timeout_ms":5000,)"
           R"("target_latency_ms":200,"priority":0,"service":"llm",)"
           R"("max_attempts":2,"stateful":true,"retention_s":60.0,)"
           R"("sticky":true,"resumable":false,"target_gap_ms":400}],)"
           R"("services":[{"name":"llm","health_path":"/health",)"
           R"("max_conns":370,"protocol":"h1","tls":false,"engine":{)"
           R"("slots":64,"kv_capacity":211374,"kv_bytes":18432,)"
           R"("link_mbps":370000.0,"moves":true,"backups":true,"stride":3,)"
           R"("most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,)"
           R"("models":[{"name":"m"}]}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

scene::scene(const std::string& record_path)
    : m_record(record_path), m_fleet(m_record, ".")
{}

bool scene::start(unsigned edges_per_zone, unsigned runners_per_zone)
{
    if (!m_fleet.start(edges_per_zone))
        return false;
    unsigned number = 0;
    for (const auto& zone : m_fleet.zones())
    {
        for (unsigned i = 0; i < runners_per_zone; ++i)
        {
            m_runners.emplace_back(
                m_fleet.store(), m_record, "i-" + std::to_string(++number),
                "llm", zone, m_fleet.free_ip(), m_fleet.runner_port(), 64);
            m_runners.back().on_run([this](const message& request) {
                const std::lock_guard lock(m_runs_mutex);
                const auto id = request.m_headers.find("x-attempt-id");
                m_runs[id == request.m_headers.end() ? "" : id->second]
                    .push_back(request.m_body);
                run_plan plan;
                plan.m_events = m_events;
                return plan;
            });
        }
    }
    m_fleet.store().put("op/config", turns_config(1));
    constexpr int start_ms = 15000;
    if (!m_fleet.wait_until_ready(start_ms))
        return false;
    // The machines start some seconds before the traffic does.
    pause_ms(3000);
    return true;
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

void wait_until(const scene& world, double start, double seconds)
{
    const auto left = start + seconds - world.m_record.now();
    if (left > 0)
        pause_ms(static_cast<int>(left * 1000));
}

} // namespace review
