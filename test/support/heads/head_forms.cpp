// SPDX-License-Identifier: BSL-1.0
#include "support/heads/head_forms.hpp"

namespace pepperturn::test {

namespace {

constexpr const char* sound_status = "HTTP/1.1 200 OK";
const std::string id_lines =
    "Pepperturn-Call: ID\r\nPepperturn-Signature: s\r\n";
/// Interim responses; far more than a server sends before its answer.
constexpr int endless_interim = 200;

std::string length_line(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// \p before and \p after with a byte between that a literal cannot hold.
std::string with_byte(const std::string& before, int byte,
                      const std::string& after)
{
    return before + static_cast<char>(byte) + after;
}

/// Collects broken responses.
class form_list
{
public:
    /// \param more_lines of each head
    explicit form_list(std::string more_lines)
        : m_lines(id_lines + std::move(more_lines))
    {}

    /// Adds a response with a length.
    void add(const std::string& name, const std::string& status_line,
             const std::string& lines = {})
    {
        add_raw(name, status_line, lines + length_line(broken_body),
                broken_body, false);
    }
    /// \param lines those behind the lines of every response
    void add_raw(const std::string& name, const std::string& status_line,
                 const std::string& lines, const std::string& body, bool closes)
    {
        m_forms.push_back(
            {name, status_line + "\r\n" + m_lines + lines + "\r\n" + body,
             closes});
    }
    void add_bytes(const std::string& name, const std::string& bytes,
                   bool closes)
    {
        m_forms.push_back({name, bytes, closes});
    }
    void add_status(const std::string& status)
    {
        const auto line = "HTTP/1.1 " + status + " X";
        add("status '" + status + "'", line);
        add_raw("status '" + status + "', chunks", line,
                "Transfer-Encoding: chunked\r\n", "7\r\ngarbage\r\n0\r\n\r\n",
                false);
        add_raw("status '" + status + "', no body", line, "", "", true);
    }
    void add_field(const std::string& name, const std::string& line)
    {
        add(name, sound_status, line + "\r\n");
    }
    [[nodiscard]] const std::string& lines() const
    {
        return m_lines;
    }
    [[nodiscard]] std::vector<broken_head> take()
    {
        return std::move(m_forms);
    }

private:
    std::string m_lines;
    std::vector<broken_head> m_forms;
};

void add_statuses(form_list& out)
{
    for (const auto* status :
         {"000", "001", "042", "099", "101", "199", "600", "999", "0", "20",
          "2000", "-20", "2x0", "abc", ""})
        out.add_status(status);
    out.add_raw("100 alone", "HTTP/1.1 100 Continue", "", "", true);
    out.add("two blanks before the status", "HTTP/1.1  200 OK");
    out.add("a control byte in the reason",
            with_byte("HTTP/1.1 200 O", 1, "K"));
    out.add("NUL in the reason", with_byte("HTTP/1.1 200 O", 0, "K"));
    for (const auto* version : {"HTTP/9.9", "HTTP/1.2", "HTTP/2", "http/1.1",
                                "HTTP/0.9", "HTTP/11", "ICY", ""})
        out.add(std::string("version '") + version + "'",
                std::string(version) + " 200 OK");
}

void add_names(form_list& out)
{
    for (const int byte : std::initializer_list<int>{
             ' ', '\t', 0x00, 0x01, 0x0b, 0x7f, 0x80, 0xff, '"', '(', ',', '/',
             '@', '[', '{', '\r'})
        out.add_field("byte " + std::to_string(byte) + " in a name",
                      with_byte("X-Na", byte, "me: v"));
    out.add_field("a blank before the colon", "X-Name : v");
    out.add_field("a tab before the colon", "X-Name\t: v");
    out.add_field("no name", ": v");
    out.add_field("no colon", "X-Name");
    // What else would say that an engine has refused the call.
    for (const auto* status : {"429", "500", "503"})
        out.add(std::string("status ") + status + ", a blank in a name",
                std::string("HTTP/1.1 ") + status + " X", "X Name: v\r\n");
}

void add_values(form_list& out)
{
    for (const int byte :
         std::initializer_list<int>{0x00, 0x01, 0x0b, 0x1f, 0x7f, '\r', '\n'})
        out.add_field("byte " + std::to_string(byte) + " in a value",
                      with_byte("X-Name: v", byte, "w"));
}

void add_framing(form_list& out)
{
    for (const auto* length : {"-1", "10a", "0x10", "5, 6", "+5", "", "1 2",
                               "99999999999999999999999"})
        out.add_raw(std::string("length '") + length + "'", sound_status,
                    std::string("Content-Length: ") + length + "\r\n",
                    broken_body, false);
    out.add_field("two lengths", "Content-Length: 2");
    out.add_field("a length and chunks", "Transfer-Encoding: chunked");
    for (const auto* coding : {"gzip", "identity", "chunked, gzip",
                               "gzip, chunked", "chunked, chunked"})
        out.add_raw(std::string("coding '") + coding + "'", sound_status,
                    std::string("Transfer-Encoding: ") + coding + "\r\n",
                    "7\r\ngarbage\r\n0\r\n\r\n", true);
    out.add_raw("two codings", sound_status,
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                "7\r\ngarbage\r\n0\r\n\r\n", true);
    out.add_raw("chunks in HTTP/1.0", "HTTP/1.0 200 OK",
                "Transfer-Encoding: chunked\r\n", "7\r\ngarbage\r\n0\r\n\r\n",
                true);
}

void add_interim(form_list& out)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::string endless;
    for (int i = 0; i < endless_interim; ++i)
        endless += interim;
    const auto rest =
        "\r\n" + out.lines() + length_line(broken_body) + "\r\n" + broken_body;
    out.add_bytes("interim responses without end",
                  endless + sound_status + rest, false);
    out.add_bytes("an interim response, then status 000",
                  interim + "HTTP/1.1 000 X" + rest, false);
    out.add_bytes("an interim response with a broken name",
                  "HTTP/1.1 103 X\r\nA B: c\r\n\r\n" +
                      std::string(sound_status) + rest,
                  false);
}

sound_head sound(const std::string& name, const std::string& lines)
{
    return {name,
            std::string(sound_status) + "\r\n" + id_lines + lines +
                length_line(sound_body) + "\r\n" + sound_body,
            false, 200, lines};
}

sound_head with_status_line(const std::string& line, unsigned status)
{
    return {line,
            line + "\r\n" + id_lines + length_line(sound_body) + "\r\n" +
                sound_body,
            true, status};
}

} // namespace

std::vector<broken_head> broken_heads(const std::string& more_lines)
{
    form_list out(more_lines);
    add_statuses(out);
    add_names(out);
    add_values(out);
    add_framing(out);
    add_interim(out);
    return out.take();
}

std::vector<broken_head> broken_trailers()
{
    form_list out({});
    for (const auto* trailer : {"X Name: v", "X-Name", ": v", "X-Name : v"})
        out.add_raw(std::string("trailer '") + trailer + "'", sound_status,
                    "Transfer-Encoding: chunked\r\n",
                    std::string("7\r\ngarbage\r\n0\r\n") + trailer + "\r\n\r\n",
                    false);
    return out.take();
}

std::vector<sound_head> sound_heads()
{
    std::vector<sound_head> out{
        sound("names of all token characters", "!#$%&'*+-.^_`|~0aZ: v\r\n"),
        sound("bytes above 0x7f in a value", "X-Name: v\x80\xff w\r\n"),
        sound("a tab in a value", "X-Name: v\tw\r\n"),
        sound("an empty value", "X-Name: \r\n"),
        with_status_line("HTTP/1.1 200 ", 200),
        with_status_line("HTTP/1.0 200 OK", 200),
        with_status_line("HTTP/1.1 299 X", 299),
        with_status_line("HTTP/1.1 418 I'm a teapot", 418),
        with_status_line("HTTP/1.1 200 \x80\t!", 200),
    };
    auto answer = sound("", "");
    out.push_back({"100, then the answer",
                   "HTTP/1.1 100 Continue\r\n\r\n" + answer.m_bytes});
    out.push_back(
        {"103 with fields, then the answer",
         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answer.m_bytes});
    out.push_back({"two interim responses, then the answer",
                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\n" +
                       answer.m_bytes});
    out.push_back({"one length twice", std::string(sound_status) + "\r\n" +
                                           id_lines + length_line(sound_body) +
                                           length_line(sound_body) + "\r\n" +
                                           sound_body});
    out.push_back({"chunks and a trailer",
                   std::string(sound_status) + "\r\n" + id_lines +
                       "Transfer-Encoding: Chunked\r\n\r\n"
                       "d\r\ndata: whole\n\n\r\n0\r\nX-Name: v\r\n\r\n"});
    return out;
}

} // namespace pepperturn::test
