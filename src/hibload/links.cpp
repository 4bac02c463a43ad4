#include "links.hpp"

#include <future>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "link_connection.hpp"
#include "net/http_types.hpp"
#include "net/socket.hpp"

namespace hibiscustide::load
{

namespace
{

using net::no_throw;

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
