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

std::pair<std::string, std::string> sorted_pair(
    std::string const& first, std::string const& second)
{
    return first < second ? std::pair{first, second} : std::pair{second, first};
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
        for (auto const& entry : m_options.m_links)
        {
            m_links.push_back(std::make_unique<link>(context, entry));
        }
    }

    std::optional<std::string> open(std::string const& server)
    {
        for (auto const& entry : m_links)
        {
            bool const wanted = entry->m_options.m_server.m_address == server &&
                                !entry->m_acceptor.is_open();
            auto const error =
                wanted ? listen(*entry) : boost::system::error_code{};
            if (error)
            {
                return core::to_string(entry->m_options.m_listen) + ": " +
                       error.message();
            }
        }
        return std::nullopt;
    }

    boost::system::error_code listen(link& entry)
    {
        auto const address = net::to_asio(entry.m_options.m_listen);
        auto& acceptor = entry.m_acceptor;
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
            asio::co_spawn(m_context, accept_loop(entry), asio::detached);
        }
        return error;
    }

    void close(std::string const& server)
    {
        for (auto const& entry : m_links)
        {
            if (entry->m_options.m_server.m_address == server)
            {
                close(*entry);
            }
        }
    }

    // Accepts the connections that the kernel has completed already before the
    // listener is closed: their clients see them as established.
    void close(link& entry)
    {
        boost::system::error_code error;
        entry.m_acceptor.non_blocking(true, error);
        while (!error)
        {
            tcp::socket client{m_context};
            entry.m_acceptor.accept(client, error);
            if (!error)
            {
                start(entry, std::move(client));
            }
        }
        boost::system::error_code ignored;
        entry.m_acceptor.close(ignored);
    }

    void start(link& entry, tcp::socket client)
    {
        auto new_connection =
            std::make_shared<connection>(m_context, std::move(client));
        asio::co_spawn(m_context, relay(entry, new_connection), asio::detached);
    }

    void disconnect(std::string const& server)
    {
        close(server);
        for (auto const& entry : m_links)
        {
            if (entry->m_options.m_server.m_address != server)
            {
                continue;
            }
            for (auto const& active : entry->m_connections)
            {
                active->close();
            }
        }
    }

    void set_fault(
        std::string const& domain, std::string const& other_domain,
        link_fault fault)
    {
        auto const between = sorted_pair(domain, other_domain);
        m_faults[between] = fault;
        for (auto const& entry : m_links)
        {
            for (auto const& active : entry->m_connections)
            {
                if (sorted_pair(active->m_from_domain, active->m_to_domain) ==
                    between)
                {
                    apply(*active, fault);
                }
            }
        }
    }

    static void apply(connection& active, link_fault fault)
    {
        if (fault == link_fault::cut)
        {
            active.close();
            return;
        }
        // The fault `silent` is permanent for a connection.
        if (active.m_fault != link_fault::silent)
        {
            active.m_fault = fault;
        }
        active.wake();
    }

    asio::awaitable<void> accept_loop(link& entry)
    {
        while (true)
        {
            auto [error, client] =
                co_await entry.m_acceptor.async_accept(no_throw);
            if (error)
            {
                co_return;
            }
            start(entry, std::move(client));
        }
    }

    asio::awaitable<void> relay(link& entry, connection_ptr new_connection)
    {
        boost::system::error_code error;
        auto const peer = new_connection->m_client.remote_endpoint(error);
        new_connection->m_client.set_option(tcp::no_delay{true}, error);
        new_connection->m_from_domain = domain_of(peer.address().to_string());
        new_connection->m_to_domain = entry.m_options.m_server_domain;
        new_connection->m_delay = delay_between(
            new_connection->m_from_domain, new_connection->m_to_domain);
        auto const fault = m_faults[sorted_pair(
            new_connection->m_from_domain, new_connection->m_to_domain)];
        if (fault == link_fault::cut)
        {
            co_return;
        }
        new_connection->m_fault =
            fault == link_fault::hold ? link_fault::hold : link_fault::none;
        auto const [connect_error] =
            co_await new_connection->m_server.async_connect(
                net::to_asio(entry.m_options.m_server), no_throw);
        if (connect_error)
        {
            co_return;
        }
        new_connection->m_server.set_option(tcp::no_delay{true}, error);
        entry.m_connections.insert(new_connection);
        asio::co_spawn(
            m_context, read_chunks(new_connection, new_connection->m_up),
            asio::detached);
        asio::co_spawn(
            m_context, read_chunks(new_connection, new_connection->m_down),
            asio::detached);
        asio::co_spawn(
            m_context, write_chunks(new_connection, new_connection->m_up),
            asio::detached);
        co_await write_chunks(new_connection, new_connection->m_down);
        entry.m_connections.erase(new_connection);
        // The server has closed its side, so data that the client still sends
        // has no receiver.
        new_connection->close();
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
        [&](implementation& impl)
        {
            opened.set_value(impl.open(server_address));
        });
    return opened.get_future().get();
}

void links::close(std::string const& server_address)
{
    post(
        [server_address](implementation& impl)
        {
            impl.close(server_address);
        });
}

void links::disconnect(std::string const& server_address)
{
    post(
        [server_address](implementation& impl)
        {
            impl.disconnect(server_address);
        });
}

void links::set_fault(
    std::string const& domain, std::string const& other_domain,
    link_fault fault)
{
    post(
        [domain, other_domain, fault](implementation& impl)
        {
            impl.set_fault(domain, other_domain, fault);
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
