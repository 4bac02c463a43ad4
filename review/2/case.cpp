// Back ends spoil one answer in fifty: the size line of a chunk does not end.
// The bytes arrive at the rate of the machine's link until the node closes.
#include <chrono>
#include <string>
#include <thread>

#include "../common/spoiled_answers.hpp"

namespace
{

// 1,000 Mbit/s.
constexpr std::size_t bytes_per_ms = 125'000;
constexpr std::chrono::milliseconds longest{8'000};

void send_endless_line(
    int socket, review::message const& asked, std::string const& instance)
{
    auto const head = review::answer_head(asked, instance) +
                      "Transfer-Encoding: chunked\r\n\r\n6;";
    if (!review::send_all(socket, head))
    {
        return;
    }
    std::string const piece(bytes_per_ms, 'x');
    auto next = review::steady::now();
    auto const end = next + longest;
    while (next < end && review::send_all(socket, piece))
    {
        next += std::chrono::milliseconds{1};
        std::this_thread::sleep_until(next);
    }
}

} // namespace

int main(int, char** argv)
{
    return review::play_spoiled_answers(
        argv[1], argv[2],
        {.m_send = send_endless_line,
         .m_periods = 14,
         .m_route_type = "unsafe",
         .m_timeout_ms = 1'500,
         .m_objective_ms = 800,
         .m_deadline = review::milliseconds{3'000}});
}
