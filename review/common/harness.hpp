/// \file
/// Stand-ins for the scripts of the review: the store, back ends, clients and
/// the part of the platform that starts and ends the node processes.
#ifndef HIBISCUSTIDE_REVIEW_HARNESS_HPP
#define HIBISCUSTIDE_REVIEW_HARNESS_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a script.
enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    could_not_run = 2
};

/// Whether the script plays its disruption: false with TROUBLE=0.
[[nodiscard]] bool is_trouble_on();

/// Milliseconds since the start of the program.
[[nodiscard]] long long elapsed_ms();

void pause_for(milliseconds span);

/// The log of a script, one line an event. Thread-safe.
class recorder
{
public:
    explicit recorder(std::string const& path);
    ~recorder();

    recorder(recorder const&) = delete;
    recorder& operator=(recorder const&) = delete;

    void line(std::string const& text);

private:
    std::mutex m_mutex;
    int m_file;
};

struct endpoint
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    [[nodiscard]] std::string text() const;
};

/// A head of HTTP/1.1 and the body.
struct message
{
    std::string m_start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> m_fields;
    std::string m_body;

    [[nodiscard]] std::string field(std::string_view name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string path() const;
    [[nodiscard]] int status() const;
};

/// Reads one message. `buffer` keeps what arrived behind it. Returns nothing if
/// the connection ends or the deadline passes before the message is complete.
[[nodiscard]] std::optional<message> read_message(
    int socket, std::string& buffer, steady::time_point deadline,
    bool is_answer);

/// Sends all bytes. Returns false if the connection fails.
bool send_all(int socket, std::string_view bytes);

/// Accepts connections and serves each one in a thread.
class tcp_server
{
public:
    using handler = std::function<void(int socket)>;

    tcp_server(endpoint listen, handler handle);
    ~tcp_server();

    tcp_server(tcp_server const&) = delete;
    tcp_server& operator=(tcp_server const&) = delete;

    /// Returns whether the listener could be opened.
    [[nodiscard]] bool start();

    /// Closes the listener and resets all connections.
    void stop();

private:
    void accept_loop();

    endpoint m_listen;
    handler m_handle;
    int m_listener = -1;
    std::mutex m_mutex;
    std::condition_variable m_all_closed;
    std::set<int> m_open; ///< One thread serves each.
    std::thread m_accept_thread;
    bool m_stopped = false;
};

/// The platform's store: ranges and watches over HTTP.
class store
{
public:
    explicit store(endpoint listen);

    [[nodiscard]] bool start();
    void stop();
    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);

private:
    struct item
    {
        std::string m_value;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        bool m_removed = false;
    };

    void serve(int socket);
    std::string range(std::string const& prefix, std::string const& after);
    std::string watch(
        std::string const& prefix, std::uint64_t after, milliseconds wait);
    static std::string to_json(std::string const& key, item const& each);

    tcp_server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 100;
    bool m_stopped = false;
};

struct backend_options
{
    endpoint m_listen;
    std::string m_service;
    std::string m_instance;
    milliseconds m_work{20};
    unsigned m_slots = 18;
};

/// A back end. It runs each request for some time and answers with its seal.
class backend
{
public:
    /// Called for each request that runs. Returns true if it has answered the
    /// request itself; the connection is closed then.
    using override_answer = std::function<bool(int socket, message const&)>;

    backend(backend_options options, recorder& record);

    [[nodiscard]] bool start();

    /// Ends the back end: its connections are reset.
    void crash();

    void set_override(override_answer override_next);

    [[nodiscard]] backend_options const& options() const;

    /// The ids of the requests that have run, in their order.
    [[nodiscard]] std::vector<std::string> runs() const;

    /// Its entry in the store.
    [[nodiscard]] std::string entry(std::string const& zone) const;

private:
    void serve(int socket);
    [[nodiscard]] std::string health_answer() const;

    backend_options m_options;
    recorder& m_record;
    tcp_server m_server;
    mutable std::mutex m_mutex;
    override_answer m_override;
    std::vector<std::string> m_runs;
    std::atomic<unsigned> m_running{0};
};

/// The head of a back end's answer, up to the framing of the body.
[[nodiscard]] std::string answer_head(
    message const& request, std::string const& instance);

/// Values for the template of the deploy file.
using settings = std::map<std::string, std::string>;

/// One node process, started with the command of the deploy file.
class node
{
public:
    node(
        std::string name, std::string directory, settings values,
        recorder& record);
    ~node();

    node(node const&) = delete;
    node& operator=(node const&) = delete;

    /// Starts the process with the settings in effect.
    [[nodiscard]] bool start();

    /// Changes one setting and the settings file.
    void set(std::string const& key, std::string const& value);

    void send_signal(int number);

    /// Whether SIGTERM was sent to the process that was started last.
    [[nodiscard]] bool is_asked_to_stop() const;

    /// Kills the process and waits for its end.
    void kill_now();

    /// Kills the process because it uses more memory than its machine has.
    void end_for_memory(std::size_t bytes);

    /// Whether the process has ended by itself. Its status is recorded.
    [[nodiscard]] bool has_ended();

    /// Resident memory in bytes; 0 if the process has ended.
    [[nodiscard]] std::size_t resident_bytes() const;

    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] std::string const& name() const;

    /// How the last end was reported, as text.
    [[nodiscard]] std::string const& last_end() const;

private:
    [[nodiscard]] std::string write_settings() const;
    void record_last_log_line() const;

    std::string m_name;
    std::string m_directory;
    settings m_values;
    recorder& m_record;
    pid_t m_pid = -1;
    std::atomic<bool> m_is_asked_to_stop{false};
    std::string m_last_end;
};

/// What a client got.
struct answer
{
    /// Nothing if the connection ended or the deadline passed.
    std::optional<message> m_message;
    bool m_connected = false;

    [[nodiscard]] int status() const;
    [[nodiscard]] std::string text() const;
};

struct request
{
    std::string m_method;
    std::string m_host;
    std::string m_path;
    std::string m_id;
    milliseconds m_deadline{2'500};
    std::string m_body;
    std::string m_more_fields; ///< Further header lines, each with CRLF.
};

/// Sends one request on a new connection and waits for its answer.
[[nodiscard]] answer exchange(endpoint const& node, request const& sent);

/// Addresses, the store and the directory of one small deployment.
class deployment
{
public:
    /// `work_folder` is for settings and logs and is removed by the caller.
    deployment(std::string const& folder, std::string work_folder);
    ~deployment();

    deployment(deployment const&) = delete;
    deployment& operator=(deployment const&) = delete;

    /// The address of machine `n`, counted from 1.
    [[nodiscard]] std::string ip(int n) const;
    [[nodiscard]] endpoint backend_address(int n) const;
    [[nodiscard]] endpoint caller_address(int n) const;
    [[nodiscard]] endpoint store_address() const;

    /// Settings of the node on machine `n` beside a back end of `service`.
    [[nodiscard]] settings node_settings(
        int n, std::string const& zone, std::string const& service) const;

    [[nodiscard]] std::unique_ptr<node> make_node(
        int n, std::string const& zone, std::string const& service);

    [[nodiscard]] recorder& record();
    [[nodiscard]] store& directory();

private:
    std::string m_work_folder;
    std::string m_net;
    std::uint16_t m_base_port;
    recorder m_record;
    std::unique_ptr<store> m_store;
};

/// One route of a configuration.
struct route
{
    std::string m_prefix;
    std::string m_type; ///< safe or unsafe
    std::string m_service;
    int m_timeout_ms = 1'200;
    int m_objective_ms = 600;
    int m_attempts = 2;
};

constexpr char const* route_host = "acervo.example";

[[nodiscard]] std::string make_config(
    int version, std::vector<std::string> const& services,
    std::vector<route> const& routes, int max_header_bytes = 16'384);

/// Waits until the condition holds. Returns whether it did within the limit.
[[nodiscard]] bool wait_until(
    std::function<bool()> const& condition, milliseconds limit);

} // namespace review

#endif
