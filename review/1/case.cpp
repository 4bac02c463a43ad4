// Back ends spoil one answer in fifty: a line of 70,000 bytes follows the last
// chunk of the body.
#include <string>

#include "../common/spoiled_answers.hpp"

namespace
{

constexpr std::size_t line_bytes = 70'000;

void send_long_line(
    int socket, review::message const& asked, std::string const& instance)
{
    review::send_all(
        socket, review::answer_head(asked, instance) +
                    "Transfer-Encoding: chunked\r\n\r\n6\r\nrecord\r\n0\r\n"
                    "X-Rest: " +
                    std::string(line_bytes, 'x') + "\r\n\r\n");
}

} // namespace

int main(int, char** argv)
{
    return review::play_spoiled_answers(
        argv[1], argv[2], {.m_send = send_long_line});
}
