// Stand-ins of the second review: a store, upstreams, clients and the platform
// that starts the nodes. They use blocking sockets and one thread for each
// connection.
#ifndef REVIEW_STANDINS_HPP
#define REVIEW_STANDINS_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review
{

using steady = std::chrono::steady_clock;

void sleep_ms(int ms);

/// The file record.txt: one line for each thing that was sent, answered or run.
class record
{
public:
    explicit record(std::string const& path);
    ~record();
    void line(std::string const& text);
    [[nodiscard]] std::int64_t now_ms() const;

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    steady::time_point m_start = steady::now();
};

/// An address of the loopback range.
struct address
{
    std::string m_ip;
    int m_port = 0;

    [[nodiscard]] std::string text() const
    {
        return m_ip + ":" + std::to_string(m_port);
    }
};

/// The head and the body of a message of HTTP/1.1.
struct message
{
    std::string m_first_line;
    /// Names are in lower case.
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::string m_body;

    [[nodiscard]] std::string field(std::string const& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// A connection with a buffer for reads. Owns its socket.
class connection
{
public:
    explicit connection(int socket)
        : m_socket{socket}
    {
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection();

    [[nodiscard]] int socket() const
    {
        return m_socket;
    }
    /// Reads a head. Returns false at the end of the stream.
    bool read_head(message& into);
    /// Reads the rest of the body. `on_bytes` is called with the number of
    /// bytes that have arrived. Returns false if the body breaks off.
    bool read_body(
        message& into, bool is_response,
        std::function<void(std::size_t)> const& on_bytes = nullptr);
    bool write(std::string const& bytes);
    void set_timeout(int ms);
    void shut();

private:
    bool fill();
    bool read_line(std::string& line);
    bool read_exactly(
        std::size_t size, std::string& into,
        std::function<void(std::size_t)> const& on_bytes);

    int m_socket;
    std::string m_buffer;
    std::mutex m_write;
};

/// Connects; returns nullptr if that fails.
std::unique_ptr<connection> connect_to(
    address const& to, std::string const& from_ip = "");

/// Accepts connections and calls the handler for each request after its head.
/// The handler reads the body, answers, and returns whether the connection goes
/// on.
class server
{
public:
    using handler = std::function<bool(connection&, message&)>;

    server(address listen, handler on_request);
    ~server();
    /// Closes the listener and all connections, as the end of a process does.
    void stop();

private:
    void accept_loop();
    void serve(std::shared_ptr<connection> const& one);

    address m_listen;
    handler m_on_request;
    int m_listener = -1;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_active{0};
    std::mutex m_mutex;
    std::vector<std::weak_ptr<connection>> m_connections;
    std::thread m_accept;
};

/// The platform's store, in its form that can only be read.
class store
{
public:
    explicit store(address listen);
    void put(std::string const& key, std::string const& json);
    void remove(std::string const& key);

private:
    struct item
    {
        std::string m_value;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        bool m_removed = false;
    };

    bool answer(connection& one, message& request);
    std::string range(std::string const& target);
    std::string watch(std::string const& target);
    static std::string to_json(std::string const& key, item const& one);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 1;
    server m_server;
};

struct upstream_options
{
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    address m_listen;
    int m_slots = 12;
    int m_work_ms = 60;
    int m_health_ms = 1;
    int m_cold_ms = 0;
    int m_heartbeat_ms = 1500;
    int m_first_heartbeat_ms = 0;   ///< After the start.
    std::size_t m_answer_bytes = 0; ///< Least length of an answer's body.
};

/// An upstream. It registers itself in the store and runs requests.
class upstream
{
public:
    /// Called when a request begins to run.
    using run_handler = std::function<void(upstream const&, message const&)>;

    upstream(
        upstream_options options, store& entries, record& log,
        run_handler on_run);
    ~upstream();
    /// Ends without a word. Its entry is removed after three heartbeats.
    void crash();
    [[nodiscard]] upstream_options const& options() const
    {
        return m_options;
    }
    /// Requests begin to run when their head and this many bytes of their body
    /// are there. By default the whole body must be there.
    void set_early_start(std::size_t bytes)
    {
        m_early_start = bytes;
    }

private:
    bool answer(connection& one, message& request);
    void run(message const& request);
    std::string health();
    std::string load();
    void heartbeat_loop();
    void put_entry();

    upstream_options m_options;
    store& m_store;
    record& m_record;
    run_handler m_on_run;
    std::atomic<int> m_running{0};
    std::atomic<int> m_answers{0};
    std::atomic<bool> m_ended{false};
    std::size_t m_early_start = SIZE_MAX;
    std::int64_t m_born_ms;
    int m_sequence = 0;
    steady::time_point m_started_at = steady::now();
    std::unique_ptr<server> m_server;
    std::thread m_heartbeats;
};

/// The ports that all machines use.
struct ports
{
    int m_outbound = 0;
    int m_inbound = 0;
    int m_ready = 0;
    int m_app = 0;
    int m_store = 0;
    int m_internal = 0; ///< The first of 16.
};

/// Finds ports that are free on all these addresses.
ports find_ports(std::vector<std::string> const& ips);

struct machine_options
{
    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    std::string m_service;
};

struct platform_options
{
    ports m_ports;
    address m_store;
    std::string m_folder; ///< For settings files and logs.
    std::vector<std::string> m_seeds;
    double m_reuse_s = 2;
    double m_grace_s = 6;
};

/// A machine with one node, which is a process of target/bin/hibmesh.
class machine
{
public:
    machine(
        machine_options options, platform_options const& platform, record& log);
    ~machine();
    /// Renders deploy/node.toml with the settings in effect.
    void write_settings(std::string const& service, bool first_start);
    void start_node();
    void signal_node(int signal);
    /// Sends SIGKILL and waits for the end.
    void kill_node();
    /// Waits for the end of the node after SIGTERM; kills it after the time.
    void wait_for_end(int ms);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] address outbound() const
    {
        return {m_options.m_ip, m_platform.m_ports.m_outbound};
    }
    [[nodiscard]] address app() const
    {
        return {m_options.m_ip, m_platform.m_ports.m_app};
    }
    [[nodiscard]] machine_options const& options() const
    {
        return m_options;
    }
    [[nodiscard]] pid_t pid() const
    {
        return m_pid;
    }

private:
    machine_options m_options;
    platform_options m_platform;
    record& m_record;
    std::string m_settings;
    pid_t m_pid = -1;
};

/// The result of a client's request.
struct reply
{
    int m_status = 0; ///< 0 if the connection ended without a whole answer.
    message m_message;
};

/// Sends one request on a new connection and waits for its answer.
reply send_request(
    address const& to, std::string const& head, std::string const& body,
    int deadline_ms);

/// The head of a client's request, without the empty line.
std::string request_head(
    std::string const& method, std::string const& path, std::string const& host,
    std::string const& id, int deadline_ms);

/// A route as the operator writes it.
std::string route_json(
    std::string const& name, std::string const& prefix, std::string const& kind,
    std::string const& service, int timeout_ms, int objective_ms);

/// A configuration with these services and routes, for one host.
std::string config_json(
    int version, std::vector<std::string> const& services,
    std::string const& host, std::vector<std::string> const& routes);

/// An id that no other request of this run has.
std::string new_id();

/// Whether the run shall have its disruption: TROUBLE is not 0.
bool has_trouble();

/// Waits until all nodes are ready. Returns false if they are not in time.
bool wait_until_ready(std::vector<std::unique_ptr<machine>> const& machines);

/// A loopback network of this run, such as "127.93.4".
std::string random_network();

/// A folder for this run under TMPDIR or /tmp. Removed by remove_folder.
std::string make_folder();
void remove_folder(std::string const& path);

} // namespace review

#endif
