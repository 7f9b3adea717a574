// SPDX-License-Identifier: BSL-1.0
/// \file
/// INI documents, and typed reads that collect every error by section and
/// key instead of stopping at the first.
#pragma once

#include "pepperturn/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pepperturn {

using ini_section = std::map<std::string, std::string>;
using ini_document = std::map<std::string, ini_section>;

/// \param source names the text in \p reason, such as a file name.
[[nodiscard]] std::optional<ini_document> parse_ini(const std::string& text,
                                                    const std::string& source,
                                                    std::string& reason);

/// Reads the keys of one section. Every key must be read or is unknown.
class section_reader
{
public:
    section_reader(std::string source, std::string name,
                   const ini_section& section,
                   std::vector<std::string>& errors);

    /// Each read leaves \p target alone if the key is absent, and notes an
    /// error if its value is bad. Returns true if the key is present.
    bool read(const char* key, std::string& target);
    bool read(const char* key, bool& target);
    bool read(const char* key, std::uint32_t& target, std::uint32_t least = 0,
              std::uint32_t most = UINT32_MAX);
    bool read(const char* key, std::uint64_t& target, std::uint64_t least = 0,
              std::uint64_t most = UINT64_MAX);
    bool read(const char* key, double& target, double least, double most);
    /// Whole milliseconds.
    bool read(const char* key, milliseconds& target, std::uint64_t least = 0);

    void add_error(const std::string& key, const std::string& what);
    /// Notes every key that was not read.
    void finish();

private:
    const std::string* find(const char* key);

    std::string m_source;
    std::string m_name;
    const ini_section& m_section;
    std::vector<std::string>& m_errors;
    std::set<std::string> m_known;
};

} // namespace pepperturn
