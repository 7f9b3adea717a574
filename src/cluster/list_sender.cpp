// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/cluster/list_sender.hpp"

#include <glog/logging.h>

namespace pepperturn {

namespace {

/// Bytes of one part: a few milliseconds of a slow link.
constexpr std::size_t part_bytes = 32U << 10U;

} // namespace

list_sender::list_sender(asio::io_context& io, const clock& time, source from)
    : m_io(io), m_time(time), m_source(std::move(from))
{}

void list_sender::start(const std::shared_ptr<frame_link>& to,
                        const std::string& name)
{
    auto& row = m_listings[to];
    const bool is_new = row == nullptr;
    if (is_new)
        row = std::make_shared<listing>();
    row->m_name = name;
    row->m_cancelled = false;
    ++row->m_starts;
    if (is_new)
        spawn(m_io, "list_sender.send", send(m_alive, to, row));
}

void list_sender::cancel(const std::shared_ptr<frame_link>& to)
{
    const auto found = m_listings.find(to);
    if (found != m_listings.end())
        found->second->m_cancelled = true;
}

task<> list_sender::send(std::weak_ptr<const bool> alive,
                         std::shared_ptr<frame_link> link,
                         std::shared_ptr<listing> row)
{
    if (alive.expired())
        co_return;
    const auto begun = m_time.now();
    std::size_t parts = 0;
    std::string after;
    std::uint64_t start = 0;
    bool dated = false;
    bool complete = false;
    while (!complete && link->open() && !row->m_cancelled)
    {
        if (std::exchange(start, row->m_starts) != row->m_starts)
        {
            after.clear();
            dated = m_source.m_state().m_runners_revision > 0;
        }
        const auto part = encode_part(after, dated);
        m_sent_bytes += part.m_bytes->size();
        link->send(part.m_bytes);
        ++parts;
        after = part.m_until;
        complete = after.empty();
        co_await frame_link::wait_for_room(link, part_bytes);
        if (alive.expired())
            co_return;
        complete = complete && start == row->m_starts;
    }
    m_listings.erase(link);
    if (m_listings.empty())
        m_parts = {};
    LOG(INFO) << "event=list_sent vm=" << row->m_name << " parts=" << parts
              << " complete=" << complete
              << " ms=" << elapsed(begun, m_time.now()).count();
}

list_sender::encoded_part list_sender::encode_part(const std::string& after,
                                                   bool dated)
{
    const auto changes = m_source.m_changes();
    const auto epoch = m_source.m_epoch();
    if (m_parts.m_changes != changes || m_parts.m_epoch != epoch)
        m_parts = {changes, epoch, {}};
    const auto known = m_parts.m_rows.find(after);
    if (dated && known != m_parts.m_rows.end())
        return known->second;
    auto part = list_part(m_source.m_state(), after, part_bytes);
    if (!dated)
        part.m_runners_revision = 0;
    encoded_part out{part.m_range->m_until, nullptr};
    out.m_bytes = std::make_shared<const std::string>(
        encode_frame({0, epoch, frame_status::ok, std::move(part)}));
    if (dated)
        m_parts.m_rows[after] = out;
    return out;
}

} // namespace pepperturn
