/// \file
/// The links of an experiment: TCP relays that add delay and simulate network
/// faults.
#ifndef HIBISCUSTIDE_HIBLOAD_LINKS_HPP
#define HIBISCUSTIDE_HIBLOAD_LINKS_HPP

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <hibiscustide/core/endpoint.hpp>

namespace hibiscustide::load
{

/// The simulated fault of a link.
enum class link_fault
{
    none,
    cut,    ///< Open connections and new ones are closed.
    hold,   ///< Data is delayed until the fault ends; none is lost.
    silent, ///< Open connections drop all data for good; new ones work.
};

/// Options of one relay: the address that it listens on and its server.
struct link_options
{
    core::endpoint m_listen;
    core::endpoint m_server;
    std::string m_server_domain;
};

/// Options of all links of an experiment.
struct links_options
{
    std::vector<link_options> m_links;
    /// Failure domain of the host at an address; empty for callers.
    std::map<std::string, std::string> m_domains;
    std::chrono::microseconds m_domain_delay{0}; ///< Between failure domains.
    std::chrono::microseconds m_caller_delay{0}; ///< From and to callers.
};

/// Runs all links of an experiment on a separate thread. The failure domain
/// that a connection comes from is looked up by its address. All functions are
/// thread-safe.
class links
{
public:
    explicit links(links_options options);
    ~links();

    links(links const&) = delete;
    links& operator=(links const&) = delete;

    /// Opens the listeners of the links to the server at this address, as when
    /// the server's process starts. Returns after all are open; returns the
    /// error message if one can't be opened.
    [[nodiscard]] std::optional<std::string> open(
        std::string const& server_address);

    /// Closes these listeners, as when the server's process no longer listens.
    /// Open connections stay open.
    void close(std::string const& server_address);

    /// Closes these listeners and all open connections, as when the server's
    /// process is killed.
    void disconnect(std::string const& server_address);

    /// Sets the fault between two failure domains, in both directions. An empty
    /// name stands for the callers.
    void set_fault(
        std::string const& domain, std::string const& other_domain,
        link_fault fault);

private:
    struct implementation;

    void post(std::function<void(implementation&)> work);

    boost::asio::io_context m_context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;
    std::unique_ptr<implementation> m_implementation;
    std::thread m_thread;
};

} // namespace hibiscustide::load

#endif
