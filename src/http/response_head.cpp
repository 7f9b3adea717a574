// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/http/response_head.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <glog/logging.h>

namespace pepperturn {

namespace {

constexpr std::array all_faults{
    head_fault::status_line,    head_fault::status,
    head_fault::field_name,     head_fault::field_value,
    head_fault::content_length, head_fault::transfer_coding,
    head_fault::too_long,       head_fault::too_many_interim};

/// By fault; that of head_fault::none stays unused.
using fault_counts =
    std::array<std::atomic<std::uint64_t>, all_faults.size() + 1>;

std::atomic<std::uint64_t>& count_of(head_fault fault)
{
    static fault_counts counts{};
    return counts.at(static_cast<std::size_t>(fault));
}

bool is_token_char(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
           (c >= 'A' && c <= 'Z') || others.find(c) != std::string_view::npos;
}

bool is_control_char(char c)
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char deleted = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return (byte < first_printable && c != '\t') || byte == deleted;
}

/// Whether the parser decodes the body as it is coded. It ignores codings other
/// than a last "chunked", and would take coded bytes, or chunk sizes, for the
/// body.
bool is_coding_decoded(const http::response_header<>& head)
{
    constexpr unsigned http_1_1 = 11;
    const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
    if (begin == end)
        return true;
    const auto value = begin->value();
    return std::next(begin) == end && head.version() >= http_1_1 &&
           boost::algorithm::iequals(value, "chunked");
}

} // namespace

const char* to_string(head_fault fault)
{
    switch (fault)
    {
    case head_fault::none:
        return "none";
    case head_fault::status_line:
        return "status_line";
    case head_fault::status:
        return "status";
    case head_fault::field_name:
        return "field_name";
    case head_fault::field_value:
        return "field_value";
    case head_fault::content_length:
        return "content_length";
    case head_fault::transfer_coding:
        return "transfer_coding";
    case head_fault::too_long:
        return "too_long";
    case head_fault::too_many_interim:
        return "too_many_interim";
    }
    return "unknown";
}

head_fault fault_of(const boost::system::error_code& ec)
{
    using http::error;
    if (ec == error::bad_version || ec == error::bad_reason ||
        ec == error::bad_line_ending)
        return head_fault::status_line;
    if (ec == error::bad_status)
        return head_fault::status;
    if (ec == error::bad_field)
        return head_fault::field_name;
    if (ec == error::bad_value || ec == error::bad_obs_fold)
        return head_fault::field_value;
    if (ec == error::bad_content_length)
        return head_fault::content_length;
    if (ec == error::bad_transfer_encoding)
        return head_fault::transfer_coding;
    if (ec == error::header_limit || ec == error::buffer_overflow)
        return head_fault::too_long;
    return head_fault::none;
}

head_fault find_head_fault(const http::response_header<>& head)
{
    if (!is_final_status(head.result_int()))
        return head_fault::status;
    return is_coding_decoded(head) ? head_fault::none
                                   : head_fault::transfer_coding;
}

bool has_framing(const http::response_header<>& head)
{
    return head.count(http::field::content_length) > 0 ||
           head.count(http::field::transfer_encoding) > 0;
}

bool is_token(std::string_view name)
{
    return !name.empty() &&
           std::all_of(name.begin(), name.end(), is_token_char);
}

bool is_field_value(std::string_view value)
{
    return std::none_of(value.begin(), value.end(), is_control_char);
}

void append_status_line(std::string& out, std::int64_t status)
{
    const bool valid = is_final_status(status);
    if (!valid)
        LOG(ERROR) << "event=response_status_replaced status=" << status;
    const auto sent =
        valid ? static_cast<unsigned>(status) : bad_gateway_status;
    const auto reason = http::obsolete_reason(http::int_to_status(sent));
    out += "HTTP/1.1 ";
    out += std::to_string(sent);
    out += ' ';
    out.append(reason.data(), reason.size());
    out += "\r\n";
}

void append_field(std::string& out, std::string_view name,
                  std::string_view value)
{
    if (!is_token(name) || !is_field_value(value))
    {
        LOG(ERROR) << "event=response_field_dropped name_bytes=" << name.size()
                   << " value_bytes=" << value.size();
        return;
    }
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

std::string log_refused_head(const refused_head& head)
{
    ++count_of(head.m_fault);
    LOG(WARNING) << "event=response_head_refused peer=" << head.m_peer
                 << " request=\"" << head.m_request
                 << "\" fault=" << to_string(head.m_fault)
                 << " status=" << head.m_status;
    return std::string("broken response head: ") + to_string(head.m_fault) +
           ", status " + std::to_string(head.m_status);
}

std::uint64_t refused_heads(head_fault fault)
{
    return count_of(fault);
}

void write_refused_heads(std::string& out, const std::string& prefix)
{
    for (const auto fault : all_faults)
    {
        out += prefix;
        out += '_';
        out += to_string(fault);
        out += ' ';
        out += std::to_string(refused_heads(fault));
        out += '\n';
    }
}

} // namespace pepperturn
