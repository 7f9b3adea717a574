// SPDX-License-Identifier: BSL-1.0
#include "harness.hpp"

namespace review {

client_answer send_request(record_file& record, const fleet& vms,
                           const machine& edge, const client_request& request)
{
    std::string text =
        request.m_method + ' ' + request.m_target +
        " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + request.m_id +
        "\r\nX-Deadline-Ms: " + std::to_string(request.m_deadline_ms) + "\r\n";
    std::string told;
    for (const auto& [name, value] : request.m_headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
        told.append(" ").append(name).append("=").append(value);
    }
    if (request.m_method != "GET")
        text +=
            "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    text += "\r\n" + request.m_body;
    record.line("sent edge=" + edge.m_name + " attempt=" + request.m_id +
                " target=" + request.m_target + told);
    client_answer out;
    auto peer = connection::open(edge.m_ip, vms.front_port(), 1000);
    if (peer && peer->write(text))
    {
        if (auto answer = peer->read(false, request.m_deadline_ms))
        {
            out.m_status = answer->m_status;
            out.m_headers = answer->m_headers;
            out.m_body = answer->m_body;
            out.m_whole = answer->m_whole;
        }
    }
    std::size_t at = 0;
    std::size_t end = 0;
    while (out.m_status == 200 &&
           (end = out.m_body.find("\n\n", at)) != std::string::npos)
    {
        const auto event = out.m_body.substr(at, end - at);
        const auto data = event.find("data: ");
        if (data != std::string::npos)
        {
            ++out.m_events;
            out.m_text += event.substr(data + 6) + '\n';
        }
        at = end + 2;
    }
    record.line(
        "answered attempt=" + request.m_id + " status=" +
        std::to_string(out.m_status) + " whole=" + (out.m_whole ? "1" : "0") +
        " events=" + std::to_string(out.m_events) +
        " bytes=" + std::to_string(out.m_body.size()) +
        (out.m_status >= 400
             ? " retry_after=" + out.m_headers["retry-after"] + " text=\"" +
                   trim(out.m_body.substr(0, out.m_body.find('\n'))) + '"'
             : ""));
    return out;
}

} // namespace review
