// SPDX-License-Identifier: BSL-1.0
#include "harness.hpp"

#include <chrono>
#include <iomanip>
#include <sstream>

namespace review {

namespace {

using steady = std::chrono::steady_clock;

std::mt19937_64& random_source()
{
    static std::mt19937_64 source{std::random_device{}()};
    return source;
}

std::mutex& random_mutex()
{
    static std::mutex mutex;
    return mutex;
}

} // namespace

record_file::record_file(const std::string& path)
    : m_out(path), m_start(steady::now())
{}

double record_file::now() const
{
    return std::chrono::duration<double>(steady::now() - m_start).count();
}

void record_file::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_out << std::fixed << std::setprecision(3) << now() << ' ' << text
          << std::endl;
}

void pause_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

unsigned draw(unsigned limit)
{
    const std::lock_guard lock(random_mutex());
    return static_cast<unsigned>(random_source()() % limit);
}

std::string fresh_id()
{
    const std::lock_guard lock(random_mutex());
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << random_source()();
    return out.str();
}

} // namespace review
