// Frames between nodes, as a connection receives them.
#include <memory>

#include "byte_stream.hpp"
#include "message_samples.hpp"
#include "net/mesh/codec.hpp"
#include "net/mesh/frame_stream.hpp"

namespace hibiscustide::fuzz
{

namespace
{

namespace mesh = net::mesh;

std::vector<mesh::message> receive(std::string_view bytes, std::size_t split)
{
    static net::asio::io_context context;
    std::vector<mesh::message> received;
    bool closed = false;
    byte_stream input{context};
    auto const stream =
        std::make_shared<mesh::frame_stream>(input.take_socket());
    stream->start(
        [&received](mesh::message&& value)
        {
            received.push_back(std::move(value));
        },
        [&closed]
        {
            closed = true;
        });
    input.run_while_bytes_arrive(bytes, split);
    require(closed, "the stream reports its end");
    return received;
}

} // namespace

std::vector<std::string> make_seeds()
{
    std::vector<std::string> seeds;
    std::string all(1, '\x80');
    for (auto const& sample : sample_messages())
    {
        auto const bytes = mesh::encode_message(sample);
        auto const half = bytes.size() / 2;
        all += mesh::encode_frame_header({.m_length = bytes.size()}) + bytes;
        seeds.push_back(
            "\x40" +
            mesh::encode_frame_header(
                {.m_kind = mesh::frame_kind::fragment, .m_length = half}) +
            bytes.substr(0, half) +
            mesh::encode_frame_header(
                {.m_kind = mesh::frame_kind::last_fragment,
                 .m_length = bytes.size() - half}) +
            bytes.substr(half));
    }
    seeds.push_back(all);
    return seeds;
}

void run_input(std::string_view bytes)
{
    if (bytes.empty())
    {
        return;
    }
    auto const frames = bytes.substr(1);
    auto const whole = receive(frames, 0);
    auto const in_pieces = receive(frames, split_of(bytes));
    require(whole == in_pieces, "a split stream contains the same messages");
}

} // namespace hibiscustide::fuzz
