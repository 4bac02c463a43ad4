/// \file
/// Messages whose heads violate RFC 9110 or 9112, for tests and fuzz targets.
#ifndef HIBISCUSTIDE_NET_MALFORMED_HEADS_HPP
#define HIBISCUSTIDE_NET_MALFORMED_HEADS_HPP

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscustide::net
{

/// A message with one violation.
struct malformed_head
{
    std::string m_violation;
    std::string m_bytes;
};

/// Returns the parts as one text.
[[nodiscard]] inline std::string join(
    std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (auto const part : parts)
    {
        text += part;
    }
    return text;
}

/// Lines of a head that no message may contain, with their line ends.
[[nodiscard]] inline std::vector<malformed_head> malformed_field_lines()
{
    using namespace std::string_literals;
    std::vector<malformed_head> lines{
        {"a line without a colon", "X-Odd\r\n"},
        {"an empty name", ": x\r\n"},
        {"a blank before the colon", "X-Odd : x\r\n"},
        {"a tab before the colon", "X-Odd\t: x\r\n"},
        {"a blank in a name", "X Odd: x\r\n"},
        {"a tab in a name", "X\tOdd: x\r\n"},
        {"a NUL in a name", "X\0Odd: x\r\n"s},
        {"a control byte in a name", "X\x01Odd: x\r\n"},
        {"DEL in a name", "X\x7fOdd: x\r\n"},
        {"a high byte in a name", "X\xc3\xa9: x\r\n"},
        {"a separator in a name", "X(Odd): x\r\n"},
        {"a CR in a name", "X\rOdd: x\r\n"},
        {"a line folded with a blank", "X-Odd: x\r\n y\r\n"},
        {"a line folded with a tab", "X-Odd: x\r\n\ty\r\n"},
        {"a folded empty line", "X-Odd: x\r\n \r\n"},
        {"a folded Content-Length", "Content-Length:\r\n 4\r\n"},
        {"a CR in a value", "X-Odd: x\ry\r\n"},
        {"a CR at the end of a value", "X-Odd: x\r\r\n"},
        {"a bare LF", "X-Odd: x\nX-More: y\r\n"},
        {"a NUL in a value", "X-Odd: x\0y\r\n"s},
        {"a control byte in a value", "X-Odd: x\x01y\r\n"},
        {"an ESC in a value", "X-Odd: x\x1by\r\n"},
        {"DEL in a value", "X-Odd: x\x7fy\r\n"},
        {"a Content-Length that is empty", "Content-Length:\r\n"},
        {"a signed Content-Length", "Content-Length: +4\r\n"},
        {"a negative Content-Length", "Content-Length: -4\r\n"},
        {"a hexadecimal Content-Length", "Content-Length: 0x4\r\n"},
        {"a Content-Length with a fraction", "Content-Length: 4.0\r\n"},
        {"a Content-Length with a blank", "Content-Length: 4 4\r\n"},
        {"a list of lengths", "Content-Length: 4, 4\r\n"},
        {"a list with an empty length", "Content-Length: 4,\r\n"},
        {"a Content-Length that overflows",
         "Content-Length: 18446744073709551620\r\n"},
        {"equal lengths", "Content-Length: 4\r\nContent-Length: 4\r\n"},
        {"different lengths", "Content-Length: 4\r\nContent-Length: 5\r\n"},
        {"a length before chunks",
         "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"},
        {"a length after chunks",
         "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"},
        {"an unknown encoding", "Transfer-Encoding: gzip\r\n"},
        {"a length and an unknown encoding",
         "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n"},
        {"chunks that are encoded again",
         "Transfer-Encoding: chunked, gzip\r\n"},
        {"chunks within chunks", "Transfer-Encoding: chunked, chunked\r\n"},
        {"an empty encoding", "Transfer-Encoding:\r\n"},
        {"repeated encodings",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"}};
    return lines;
}

/// Responses, each with a body that would be accepted otherwise.
[[nodiscard]] inline std::vector<malformed_head> malformed_responses()
{
    using namespace std::string_literals;
    std::string const rest = "\r\nContent-Length: 4\r\n\r\nbody";
    std::vector<malformed_head> heads{
        {"no version", "200 OK" + rest},
        {"version 0.9", "HTTP/0.9 200 OK" + rest},
        {"version 1.2", "HTTP/1.2 200 OK" + rest},
        {"version 2.0", "HTTP/2.0 200 OK" + rest},
        {"version 2", "HTTP/2 200 OK" + rest},
        {"version 1.10", "HTTP/1.10 200 OK" + rest},
        {"version 01.1", "HTTP/01.1 200 OK" + rest},
        {"a version in lower case", "http/1.1 200 OK" + rest},
        {"another protocol", "ICY/1.1 200 OK" + rest},
        {"a blank before the version", " HTTP/1.1 200 OK" + rest},
        {"an empty line before the status line", "\r\nHTTP/1.1 200 OK" + rest},
        {"two blanks before the status", "HTTP/1.1  200 OK" + rest},
        {"a tab before the status", "HTTP/1.1\t200 OK" + rest},
        {"no status", "HTTP/1.1 OK" + rest},
        {"status 000", "HTTP/1.1 000 OK" + rest},
        {"status 099", "HTTP/1.1 099 OK" + rest},
        {"status 101", "HTTP/1.1 101 Switching Protocols" + rest},
        {"status 600", "HTTP/1.1 600 OK" + rest},
        {"status 999", "HTTP/1.1 999 OK" + rest},
        {"a status of two digits", "HTTP/1.1 20 OK" + rest},
        {"a status of four digits", "HTTP/1.1 2000 OK" + rest},
        {"a signed status", "HTTP/1.1 -20 OK" + rest},
        {"a status with a letter", "HTTP/1.1 2x0 OK" + rest},
        {"a status without a blank behind it", "HTTP/1.1 200" + rest},
        {"a tab behind the status", "HTTP/1.1 200\tOK" + rest},
        {"a control byte in the reason", "HTTP/1.1 200 O\x01K" + rest},
        {"a NUL in the reason", "HTTP/1.1 200 O\0K"s + rest},
        {"DEL in the reason", "HTTP/1.1 200 O\x7fK" + rest},
        {"a CR in the reason", "HTTP/1.1 200 O\rK" + rest},
        {"a bare LF behind the status line",
         "HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody"},
        {"a folded status line",
         "HTTP/1.1 200 OK\r\n X-Odd: x\r\nContent-Length: 4\r\n\r\nbody"},
        {"a bare LF at the end of the head",
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nbody"},
        {"a bare CR at the end of the head",
         "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\rbody\r\n\r\n"},
        {"chunks in version 1.0",
         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\nbody\r\n0\r\n\r\n"},
        {"a malformed line in an interim response",
         "HTTP/1.1 100 Continue\r\nX Odd: x\r\n\r\nHTTP/1.1 200 OK" + rest}};
    for (auto const& [violation, lines] : malformed_field_lines())
    {
        auto const framing =
            lines.find("Content-Length") == std::string::npos &&
                    lines.find("Transfer-Encoding") == std::string::npos
                ? "Content-Length: 4\r\n"s
                : ""s;
        auto const body = lines.find("chunked") == std::string::npos
                              ? "body"s
                              : "4\r\nbody\r\n0\r\n\r\n"s;
        std::string_view const status_line = "HTTP/1.1 200 OK\r\n";
        heads.push_back(
            {violation, join({status_line, lines, framing, "\r\n", body})});
        heads.push_back(
            {violation + ", last line",
             join({status_line, "A: b\r\n", framing, lines, "\r\n", body})});
    }
    return heads;
}

/// Requests, each with a body that would be accepted otherwise.
[[nodiscard]] inline std::vector<malformed_head> malformed_requests()
{
    using namespace std::string_literals;
    std::string const rest = "\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
    std::vector<malformed_head> heads{
        {"no version", "POST /" + rest},
        {"version 0.9", "POST / HTTP/0.9" + rest},
        {"version 1.2", "POST / HTTP/1.2" + rest},
        {"version 2.0", "POST / HTTP/2.0" + rest},
        {"a version in lower case", "POST / http/1.1" + rest},
        {"a blank behind the version", "POST / HTTP/1.1 " + rest},
        {"two blanks before the target", "POST  / HTTP/1.1" + rest},
        {"two blanks before the version", "POST /  HTTP/1.1" + rest},
        {"a tab before the target", "POST\t/ HTTP/1.1" + rest},
        {"no target", "POST HTTP/1.1" + rest},
        {"no method", " / HTTP/1.1" + rest},
        {"a separator in the method", "PO(ST / HTTP/1.1" + rest},
        {"a control byte in the method", "PO\x01ST / HTTP/1.1" + rest},
        {"a high byte in the method", "PO\xc3ST / HTTP/1.1" + rest},
        {"a control byte in the target", "POST /\x01 HTTP/1.1" + rest},
        {"a NUL in the target", "POST /\0 HTTP/1.1"s + rest},
        {"DEL in the target", "POST /\x7f HTTP/1.1" + rest},
        {"a CR in the target", "POST /\rx HTTP/1.1" + rest},
        {"a bare LF behind the request line",
         "POST / HTTP/1.1\nHost: x\r\nContent-Length: 4\r\n\r\nbody"},
        {"a folded request line",
         "POST / HTTP/1.1\r\n X: x\r\nHost: x\r\n\r\n"},
        {"a bare LF at the end of the head",
         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\nbody"},
        {"two hosts",
         "POST / HTTP/1.1\r\nHost: x\r\nHost: y\r\nContent-Length: 4\r\n\r\n"
         "body"},
        {"chunks in version 1.0",
         "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "4\r\nbody\r\n0\r\n\r\n"}};
    for (auto const& [violation, lines] : malformed_field_lines())
    {
        auto const framing =
            lines.find("Content-Length") == std::string::npos &&
                    lines.find("Transfer-Encoding") == std::string::npos
                ? "Content-Length: 4\r\n"s
                : ""s;
        auto const body = lines.find("chunked") == std::string::npos
                              ? "body"s
                              : "4\r\nbody\r\n0\r\n\r\n"s;
        heads.push_back(
            {violation, join(
                            {"POST / HTTP/1.1\r\nHost: x\r\n", framing, lines,
                             "\r\n", body})});
    }
    return heads;
}

} // namespace hibiscustide::net

#endif
