// SPDX-License-Identifier: BSL-1.0
#include "harness.hpp"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using json = nlohmann::json;

std::string chunk(const std::string& data)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", data.size());
    return size + data + "\r\n";
}

} // namespace

runner::runner(metadata_store& store, record_file& record, std::string id,
               std::string service, std::string zone, std::string ip, int port,
               unsigned slots)
    : m_store(store), m_record(record), m_id(std::move(id)),
      m_service(std::move(service)), m_zone(std::move(zone)),
      m_ip(std::move(ip)), m_port(port), m_slots(slots)
{
    m_decide = [](const message&) { return run_plan{}; };
    m_server = std::make_unique<server>(
        m_ip, m_port, [this](connection& peer) { serve(peer); });
    m_beats = std::thread([this] { beat_loop(); });
}

runner::~runner()
{
    m_stopping = true;
    m_beats.join();
    m_server.reset();
}

void runner::beat_loop()
{
    constexpr int heartbeat_ms = 1200;
    while (!m_stopping)
    {
        const json entry{
            {"service", m_service},
            {"address", m_ip + ':' + std::to_string(m_port)},
            {"zone", m_zone},
            {"version", "v1"},
            {"slots", m_slots},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"stage", "both"},
            {"models", json::array({{{"name", "m"},
                                     {"version", 1},
                                     {"adapters", json::array()}}})},
            {"seq", ++m_sequence}};
        m_store.put("servers/" + m_id, entry.dump());
        for (int waited = 0; waited < heartbeat_ms && !m_stopping; waited += 50)
            pause_ms(50);
    }
}

std::string stream_text(const std::string& attempt, unsigned events)
{
    std::string out;
    for (unsigned i = 1; i <= events; ++i)
        out += attempt + '.' + std::to_string(i) + '\n';
    return out;
}

bool runner::answer_stream(connection& peer, const std::string& id,
                           const run_plan& plan)
{
    if (!peer.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                    "\r\nX-Server-Seal: " + m_id +
                    "\r\nX-Weight-Versions: 1\r\nContent-Type: "
                    "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return false;
    for (unsigned i = 1; i <= plan.m_events; ++i)
    {
        pause_ms(static_cast<int>(plan.m_event_pause_ms));
        const auto number = std::to_string(i);
        std::string event = "id: ";
        event.append(number).append("\ndata: ").append(id).append(".");
        event.append(number).append("\n\n");
        if (!peer.write(chunk(event)))
            return false;
    }
    return peer.write("0\r\n\r\n");
}

void runner::serve(connection& peer)
{
    while (!m_stopping)
    {
        auto request = peer.read(true, 120000);
        if (!request || !request->m_whole)
            return;
        if (request->m_target == "/health" ||
            request->m_target == "/api/report")
        {
            const std::string body =
                request->m_target == "/health"
                    ? ""
                    : R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":200000,"handles":0})";
            if (!peer.write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_id +
                            "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
            continue;
        }
        const auto id = request->m_headers["x-attempt-id"];
        const auto expected = request->m_headers["x-expect-instance"];
        if (!expected.empty() && expected != m_id)
        {
            if (!peer.write("HTTP/1.1 421 Misdirected Request\r\n"
                            "X-Attempt-Id: " +
                            id + "\r\nX-Not-Run: 1\r\nX-Instance-Id: " + m_id +
                            "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        const auto plan = m_decide(*request);
        m_record.line("run runner=" + m_id + " attempt=" + id +
                      " target=" + request->m_target +
                      " previous=" + request->m_headers["x-previous-turn"] +
                      " body_bytes=" + std::to_string(request->m_body.size()));
        pause_ms(static_cast<int>(plan.m_delay_ms));
        if (plan.m_events > 0)
        {
            if (!answer_stream(peer, id, plan))
                return;
            continue;
        }
        const std::string body = "done " + id;
        std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ";
        answer.append(id).append("\r\nX-Server-Seal: ").append(m_id);
        answer.append("\r\nContent-Length: ");
        answer.append(std::to_string(body.size())).append("\r\n\r\n");
        if (!peer.write(answer + body))
            return;
    }
}

} // namespace review
