#include "links.hpp"

#include <array>
#include <deque>
#include <future>
#include <set>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "net/http_types.hpp"
#include "net/socket.hpp"

namespace hibiscustide::load
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;
using net::no_throw;

constexpr std::size_t chunk_bytes = 16'384;

// What has been read and is not due yet.
struct chunk
{
    clock::time_point m_due;
    std::vector<char> m_bytes; ///< Empty for the end of the stream.
};

// One direction of one connection.
struct direction
{
    direction(asio::io_context& context, tcp::socket& from, tcp::socket& to)
        : m_from{from},
          m_to{to},
          m_wake{context}
    {
    }

    tcp::socket& m_from;
    tcp::socket& m_to;
    std::deque<chunk> m_chunks;
    asio::steady_timer m_wake;
};

struct connection
{
    connection(asio::io_context& context, tcp::socket client)
        : m_client{std::move(client)},
          m_server{context},
          m_up{context, m_client, m_server},
          m_down{context, m_server, m_client}
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_closed = true;
        wake();
    }

    void wake()
    {
        m_up.m_wake.cancel();
        m_down.m_wake.cancel();
    }

    tcp::socket m_client;
    tcp::socket m_server;
    direction m_up;
    direction m_down;
    std::string m_from_domain;
    std::string m_to_domain;
    std::chrono::microseconds m_delay{0};
    link_fault m_fault = link_fault::none;
    bool m_closed = false;
};

using connection_ptr = std::shared_ptr<connection>;

// Reads what arrives and notes when it is due at the other end.
asio::awaitable<void> read_side(connection_ptr owner, direction& way)
{
    std::array<char, chunk_bytes> buffer{};
    while (!owner->m_closed)
    {
        auto const [error, count] =
            co_await way.m_from.async_read_some(asio::buffer(buffer), no_throw);
        auto const due = clock::now() + owner->m_delay;
        way.m_chunks.push_back(
            {.m_due = due, .m_bytes = {buffer.data(), buffer.data() + count}});
        way.m_wake.cancel();
        if (error)
        {
            co_return;
        }
    }
}

// Writes what is due. A held link keeps it, a silent one drops it.
asio::awaitable<void> write_side(connection_ptr owner, direction& way)
{
    while (!owner->m_closed)
    {
        bool const waits =
            way.m_chunks.empty() || owner->m_fault == link_fault::hold;
        if (waits)
        {
            way.m_wake.expires_at(clock::time_point::max());
            co_await way.m_wake.async_wait(no_throw);
            continue;
        }
        if (way.m_chunks.front().m_due > clock::now())
        {
            way.m_wake.expires_at(way.m_chunks.front().m_due);
            co_await way.m_wake.async_wait(no_throw);
            continue;
        }
        auto const next = std::move(way.m_chunks.front());
        way.m_chunks.pop_front();
        if (owner->m_fault == link_fault::silent)
        {
            continue;
        }
        if (next.m_bytes.empty())
        {
            boost::system::error_code ignored;
            way.m_to.shutdown(tcp::socket::shutdown_send, ignored);
            co_return;
        }
        auto const [error, count] = co_await asio::async_write(
            way.m_to, asio::buffer(next.m_bytes), no_throw);
        static_cast<void>(count);
        if (error)
        {
            owner->close();
        }
    }
}

std::pair<std::string, std::string> ordered(
    std::string const& one, std::string const& other)
{
    return one < other ? std::pair{one, other} : std::pair{other, one};
}

} // namespace

struct links::implementation
{
    struct link
    {
        link(asio::io_context& context, link_options options)
            : m_options{std::move(options)},
              m_acceptor{context}
        {
        }

        link_options m_options;
        tcp::acceptor m_acceptor;
        std::set<connection_ptr> m_connections;
    };

    implementation(asio::io_context& context, links_options options)
        : m_context{context},
          m_options{std::move(options)}
    {
        for (auto const& one : m_options.m_links)
        {
            m_links.push_back(std::make_unique<link>(context, one));
        }
    }

    std::optional<std::string> open(std::string const& server)
    {
        for (auto const& one : m_links)
        {
            bool const wanted = one->m_options.m_server.m_address == server &&
                                !one->m_acceptor.is_open();
            auto const error =
                wanted ? listen(*one) : boost::system::error_code{};
            if (error)
            {
                return core::to_string(one->m_options.m_listen) + ": " +
                       error.message();
            }
        }
        return std::nullopt;
    }

    boost::system::error_code listen(link& one)
    {
        auto const address = net::to_asio(one.m_options.m_listen);
        auto& acceptor = one.m_acceptor;
        boost::system::error_code error;
        acceptor.open(address.protocol(), error);
        if (!error)
        {
            acceptor.set_option(asio::socket_base::reuse_address{true}, error);
        }
        if (!error)
        {
            acceptor.bind(address, error);
        }
        if (!error)
        {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (!error)
        {
            asio::co_spawn(m_context, accept_loop(one), asio::detached);
        }
        return error;
    }

    void close(std::string const& server)
    {
        for (auto const& one : m_links)
        {
            if (one->m_options.m_server.m_address == server)
            {
                close(*one);
            }
        }
    }

    // Takes what the system has accepted already: those clients believe that
    // they are connected.
    void close(link& one)
    {
        boost::system::error_code error;
        one.m_acceptor.non_blocking(true, error);
        while (!error)
        {
            tcp::socket client{m_context};
            one.m_acceptor.accept(client, error);
            if (!error)
            {
                start(one, std::move(client));
            }
        }
        boost::system::error_code ignored;
        one.m_acceptor.close(ignored);
    }

    void start(link& one, tcp::socket client)
    {
        auto made = std::make_shared<connection>(m_context, std::move(client));
        asio::co_spawn(m_context, pass(one, made), asio::detached);
    }

    void drop(std::string const& server)
    {
        close(server);
        for (auto const& one : m_links)
        {
            if (one->m_options.m_server.m_address != server)
            {
                continue;
            }
            for (auto const& open : one->m_connections)
            {
                open->close();
            }
        }
    }

    void set_fault(
        std::string const& one, std::string const& other, link_fault fault)
    {
        auto const between = ordered(one, other);
        m_faults[between] = fault;
        for (auto const& each : m_links)
        {
            for (auto const& open : each->m_connections)
            {
                if (ordered(open->m_from_domain, open->m_to_domain) == between)
                {
                    apply(*open, fault);
                }
            }
        }
    }

    static void apply(connection& open, link_fault fault)
    {
        if (fault == link_fault::cut)
        {
            open.close();
            return;
        }
        // A connection that went silent stays so.
        if (open.m_fault != link_fault::silent)
        {
            open.m_fault = fault;
        }
        open.wake();
    }

    asio::awaitable<void> accept_loop(link& one)
    {
        while (true)
        {
            auto [error, client] =
                co_await one.m_acceptor.async_accept(no_throw);
            if (error)
            {
                co_return;
            }
            start(one, std::move(client));
        }
    }

    asio::awaitable<void> pass(link& one, connection_ptr made)
    {
        boost::system::error_code error;
        auto const peer = made->m_client.remote_endpoint(error);
        made->m_client.set_option(tcp::no_delay{true}, error);
        made->m_from_domain = domain_of(peer.address().to_string());
        made->m_to_domain = one.m_options.m_server_domain;
        made->m_delay = delay_between(made->m_from_domain, made->m_to_domain);
        auto const fault =
            m_faults[ordered(made->m_from_domain, made->m_to_domain)];
        if (fault == link_fault::cut)
        {
            co_return;
        }
        made->m_fault =
            fault == link_fault::hold ? link_fault::hold : link_fault::none;
        auto const [connect_error] = co_await made->m_server.async_connect(
            net::to_asio(one.m_options.m_server), no_throw);
        if (connect_error)
        {
            co_return;
        }
        made->m_server.set_option(tcp::no_delay{true}, error);
        one.m_connections.insert(made);
        asio::co_spawn(m_context, read_side(made, made->m_up), asio::detached);
        asio::co_spawn(
            m_context, read_side(made, made->m_down), asio::detached);
        asio::co_spawn(m_context, write_side(made, made->m_up), asio::detached);
        co_await write_side(made, made->m_down);
        one.m_connections.erase(made);
        // The server's side has ended; what the client still sends has nobody
        // to go to.
        made->close();
    }

    [[nodiscard]] std::string domain_of(std::string const& address) const
    {
        auto const found = m_options.m_domains.find(address);
        return found == m_options.m_domains.end() ? "" : found->second;
    }

    [[nodiscard]] std::chrono::microseconds delay_between(
        std::string const& from, std::string const& to) const
    {
        if (from.empty())
        {
            return m_options.m_caller_delay;
        }
        return from == to ? std::chrono::microseconds{0}
                          : m_options.m_domain_delay;
    }

    asio::io_context& m_context;
    links_options m_options;
    std::vector<std::unique_ptr<link>> m_links;
    std::map<std::pair<std::string, std::string>, link_fault> m_faults;
};

links::links(links_options options)
    : m_work{asio::make_work_guard(m_context)},
      m_implementation{
          std::make_unique<implementation>(m_context, std::move(options))},
      m_thread{[this]
               {
                   m_context.run();
               }}
{
}

links::~links()
{
    m_context.stop();
    m_thread.join();
}

std::optional<std::string> links::open(std::string const& server_address)
{
    std::promise<std::optional<std::string>> opened;
    post(
        [&](implementation& all)
        {
            opened.set_value(all.open(server_address));
        });
    return opened.get_future().get();
}

void links::close(std::string const& server_address)
{
    post(
        [server_address](implementation& all)
        {
            all.close(server_address);
        });
}

void links::drop(std::string const& server_address)
{
    post(
        [server_address](implementation& all)
        {
            all.drop(server_address);
        });
}

void links::set_fault(
    std::string const& one, std::string const& other, link_fault fault)
{
    post(
        [one, other, fault](implementation& all)
        {
            all.set_fault(one, other, fault);
        });
}

void links::post(std::function<void(implementation&)> work)
{
    asio::post(
        m_context,
        [this, work = std::move(work)]
        {
            work(*m_implementation);
        });
}

} // namespace hibiscustide::load
