// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/config/ini.hpp"

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <sstream>

namespace pepperturn {

namespace {

template <class Number>
std::optional<Number> parse_number(const std::string& text)
{
    Number value{};
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || rest != end)
        return std::nullopt;
    return value;
}

} // namespace

std::optional<ini_document> parse_ini(const std::string& text,
                                      const std::string& source,
                                      std::string& reason)
{
    boost::property_tree::ptree tree;
    std::istringstream input(text);
    // The library reports by exception; ours are values.
    try
    {
        boost::property_tree::read_ini(input, tree);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        reason = source + ":" + std::to_string(error.line()) + ": " +
                 error.message();
        return std::nullopt;
    }
    ini_document out;
    for (const auto& [name, section] : tree)
    {
        if (section.empty() && !section.data().empty())
        {
            reason = source;
            reason += ": ";
            reason += name;
            reason += " stands outside any section";
            return std::nullopt;
        }
        auto& target = out[name];
        for (const auto& [key, value] : section)
            target[key] = value.data();
    }
    return out;
}

section_reader::section_reader(std::string source, std::string name,
                               const ini_section& section,
                               std::vector<std::string>& errors)
    : m_source(std::move(source)), m_name(std::move(name)), m_section(section),
      m_errors(errors)
{}

const std::string* section_reader::find(const char* key)
{
    m_known.insert(key);
    const auto found = m_section.find(key);
    return found == m_section.end() ? nullptr : &found->second;
}

void section_reader::add_error(const std::string& key, const std::string& what)
{
    m_errors.push_back(m_source + ": [" + m_name + "] " + key + ": " + what);
}

bool section_reader::read(const char* key, std::string& target)
{
    const auto* text = find(key);
    if (text != nullptr)
        target = *text;
    return text != nullptr;
}

bool section_reader::read(const char* key, bool& target)
{
    const auto* text = find(key);
    if (text == nullptr)
        return false;
    if (*text == "true" || *text == "yes" || *text == "1")
        target = true;
    else if (*text == "false" || *text == "no" || *text == "0")
        target = false;
    else
        add_error(key, "expected true or false, got '" + *text + "'");
    return true;
}

bool section_reader::read(const char* key, std::uint64_t& target,
                          std::uint64_t least, std::uint64_t most)
{
    const auto* text = find(key);
    if (text == nullptr)
        return false;
    const auto value = parse_number<std::uint64_t>(*text);
    if (!value || *value < least || *value > most)
        add_error(key, "expected a whole number from " + std::to_string(least) +
                           " to " + std::to_string(most) + ", got '" + *text +
                           "'");
    else
        target = *value;
    return true;
}

bool section_reader::read(const char* key, std::uint32_t& target,
                          std::uint32_t least, std::uint32_t most)
{
    std::uint64_t wide = target;
    const bool present =
        read(key, wide, std::uint64_t{least}, std::uint64_t{most});
    target = static_cast<std::uint32_t>(wide);
    return present;
}

bool section_reader::read(const char* key, double& target, double least,
                          double most)
{
    const auto* text = find(key);
    if (text == nullptr)
        return false;
    const auto value = parse_number<double>(*text);
    if (!value || !(*value >= least && *value <= most))
        add_error(key, "expected a number from " + std::to_string(least) +
                           " to " + std::to_string(most) + ", got '" + *text +
                           "'");
    else
        target = *value;
    return true;
}

bool section_reader::read(const char* key, milliseconds& target,
                          std::uint64_t least)
{
    constexpr std::uint64_t most = 7ULL * 24 * 3600 * 1000;
    auto wide = static_cast<std::uint64_t>(target.count());
    const bool present = read(key, wide, least, most);
    target = milliseconds(wide);
    return present;
}

void section_reader::finish()
{
    for (const auto& [key, value] : m_section)
    {
        if (!m_known.contains(key))
            add_error(key, "unknown key");
    }
}

} // namespace pepperturn
