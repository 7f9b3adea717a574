// SPDX-License-Identifier: BSL-1.0
/// \file
/// Stand-in of the platform's store on loopback, by its published protocol:
/// items, ranges, watches and conditional writes, with outages.
#pragma once

#include "pepperturn/base/async.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <set>

namespace pepperturn::test {

namespace http = boost::beast::http;

class platform_store
{
public:
    explicit platform_store(asio::io_context& io);
    ~platform_store();

    [[nodiscard]] std::string address() const;

    /// Writes from outside the system, as the operator or a runner.
    std::uint64_t put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::string value_of(const std::string& key) const;

    /// While set, every call is answered 503 and open watches are aborted.
    void set_down(bool down);
    /// Open connections are answered no more, without an end; new ones are.
    void silence_connections()
    {
        m_first_answered = m_connections;
    }
    /// Drops the history of changes up to now.
    void compact();
    /// The next write is applied, but its connection ends without a response.
    void lose_next_answer()
    {
        m_lose_answer = true;
    }
    [[nodiscard]] std::uint64_t calls() const
    {
        return m_calls;
    }

private:
    struct item
    {
        std::string m_value;
        std::uint64_t m_revision = 0;
        bool m_deleted = false;
    };
    using request = http::request<http::string_body>;
    using response = http::response<http::string_body>;

    /// \param number of the connection
    task<> serve(std::shared_ptr<tcp::socket> socket, std::size_t number);
    task<response> answer(const request& call);
    task<response> answer_watch(std::map<std::string, std::string> query);
    response answer_write(const request& call);
    void changed();

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<tcp::socket>> m_sockets;
    std::map<std::string, item> m_items;
    std::vector<std::pair<std::string, item>> m_history;
    std::set<std::shared_ptr<async_event>> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldest = 0;
    std::uint64_t m_calls = 0;
    std::size_t m_connections = 0;
    /// Connections of lower numbers are not answered.
    std::size_t m_first_answered = 0;
    bool m_down = false;
    bool m_lose_answer = false;
};

} // namespace pepperturn::test
