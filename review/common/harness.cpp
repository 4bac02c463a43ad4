#include "harness.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

steady::time_point const program_start = steady::now();

// The node process that is started has no other variables.
constexpr char const* settings_variable = "HIBISCUSTIDE_SETTINGS=";
constexpr char const* node_program = "target/bin/hibmesh";
constexpr char const* node_template = "deploy/node.toml";

constexpr int accept_poll_ms = 50;
constexpr milliseconds server_idle_limit{10'000};

std::string to_lower(std::string_view text)
{
    std::string lower{text};
    std::transform(
        lower.begin(), lower.end(), lower.begin(),
        [](unsigned char c)
        {
            return static_cast<char>(std::tolower(c));
        });
    return lower;
}

int poll_timeout(steady::time_point deadline)
{
    auto const left =
        std::chrono::duration_cast<milliseconds>(deadline - steady::now())
            .count();
    return static_cast<int>(std::max<long long>(left, 0));
}

bool receive_more(int socket, std::string& buffer, steady::time_point deadline)
{
    pollfd waiting{.fd = socket, .events = POLLIN, .revents = 0};
    if (::poll(&waiting, 1, poll_timeout(deadline)) <= 0)
    {
        return false;
    }
    char bytes[16'384];
    auto const count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
    {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

sockaddr_in to_address(endpoint const& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.m_port);
    ::inet_pton(AF_INET, value.m_ip.c_str(), &address.sin_addr);
    return address;
}

// Reads a body in chunks from the buffer on.
bool read_chunks(
    int socket, std::string& buffer, steady::time_point deadline,
    std::string& body)
{
    while (true)
    {
        auto end = buffer.find("\r\n");
        while (end == std::string::npos)
        {
            if (!receive_more(socket, buffer, deadline))
            {
                return false;
            }
            end = buffer.find("\r\n");
        }
        auto const size = std::strtoull(buffer.c_str(), nullptr, 16);
        auto const needed = end + 2 + size + 2;
        while (buffer.size() < needed)
        {
            if (!receive_more(socket, buffer, deadline))
            {
                return false;
            }
        }
        body += buffer.substr(end + 2, size);
        buffer.erase(0, needed);
        if (size == 0)
        {
            return true;
        }
    }
}

std::string encode_base64(std::string_view bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                              "uvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3)
    {
        unsigned value = 0;
        auto const count = std::min<std::size_t>(3, bytes.size() - n);
        for (std::size_t k = 0; k < 3; ++k)
        {
            value <<= 8U;
            value |= k < count ? static_cast<unsigned char>(bytes[n + k]) : 0U;
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            text += k <= count ? digits[(value >> (18U - 6U * k)) & 63U] : '=';
        }
    }
    return text;
}

// The value of a parameter of a query; percent signs are decoded.
std::string query_value(std::string const& path, std::string const& name)
{
    auto position = path.find('?');
    while (position != std::string::npos)
    {
        auto const begin = position + 1;
        auto const end = path.find('&', begin);
        auto const part = path.substr(begin, end - begin);
        if (part.rfind(name + "=", 0) == 0)
        {
            std::string value;
            for (auto n = name.size() + 1; n < part.size(); ++n)
            {
                if (part[n] == '%' && n + 2 < part.size())
                {
                    value += static_cast<char>(
                        std::stoi(part.substr(n + 1, 2), nullptr, 16));
                    n += 2;
                    continue;
                }
                value += part[n];
            }
            return value;
        }
        position = end;
    }
    return {};
}

bool is_close_requested(message const& request)
{
    return to_lower(request.field("Connection")) == "close";
}

bool is_free(endpoint const& value)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = to_address(value);
    bool const is_bound =
        ::bind(
            socket, reinterpret_cast<sockaddr const*>(&address),
            sizeof(address)) == 0;
    ::close(socket);
    return is_bound;
}

// Returns the first of as many ports as a deployment uses that are all free.
std::uint16_t find_free_ports(std::string const& net)
{
    constexpr int count = 45;
    constexpr int first = 21'000;
    constexpr int last = 30'000;
    auto base = first + ::getpid() % (last - first);
    for (int tries = 0; tries < 100; ++tries)
    {
        bool are_free = true;
        for (int port = base; port < base + count; ++port)
        {
            are_free = are_free &&
                       is_free({net + "1", static_cast<std::uint16_t>(port)});
        }
        if (are_free)
        {
            break;
        }
        base = first + (base + count - first) % (last - first);
    }
    return static_cast<std::uint16_t>(base);
}

std::string fill_template(std::string text, settings const& values)
{
    auto begin = text.find("{{");
    while (begin != std::string::npos)
    {
        auto const end = text.find("}}", begin);
        auto const name = text.substr(begin + 2, end - begin - 2);
        auto const it = values.find(name);
        auto const& value = it == values.end() ? std::string{} : it->second;
        text.replace(begin, end + 2 - begin, value);
        begin = text.find("{{", begin + value.size());
    }
    return text;
}

} // namespace

bool is_trouble_on()
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

long long elapsed_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               steady::now() - program_start)
        .count();
}

void pause_for(milliseconds span)
{
    std::this_thread::sleep_for(span);
}

recorder::recorder(std::string const& path)
    : m_file{
          ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)}
{
}

recorder::~recorder()
{
    ::close(m_file);
}

void recorder::line(std::string const& text)
{
    auto const whole = std::to_string(elapsed_ms()) + " ms " + text + "\n";
    std::lock_guard const lock{m_mutex};
    static_cast<void>(!::write(m_file, whole.data(), whole.size()));
}

std::string endpoint::text() const
{
    return m_ip + ":" + std::to_string(m_port);
}

std::string message::field(std::string_view name) const
{
    for (auto const& [key, value] : m_fields)
    {
        if (to_lower(key) == to_lower(name))
        {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return m_start.substr(0, m_start.find(' '));
}

std::string message::path() const
{
    auto const begin = m_start.find(' ') + 1;
    return m_start.substr(begin, m_start.find(' ', begin) - begin);
}

int message::status() const
{
    return std::atoi(m_start.substr(m_start.find(' ') + 1).c_str());
}

std::optional<message> read_message(
    int socket, std::string& buffer, steady::time_point deadline,
    bool is_answer)
{
    auto head_end = buffer.find("\r\n\r\n");
    while (head_end == std::string::npos)
    {
        if (!receive_more(socket, buffer, deadline))
        {
            return std::nullopt;
        }
        head_end = buffer.find("\r\n\r\n");
    }
    message read;
    std::istringstream head{buffer.substr(0, head_end + 2)};
    std::string line;
    while (std::getline(head, line))
    {
        if (!line.empty() && line.back() == '\r')
        {
            line.pop_back();
        }
        if (read.m_start.empty())
        {
            read.m_start = line;
            continue;
        }
        auto const colon = line.find(':');
        auto const value = line.find_first_not_of(' ', colon + 1);
        read.m_fields.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
    }
    buffer.erase(0, head_end + 4);
    if (to_lower(read.field("Transfer-Encoding")) == "chunked")
    {
        return read_chunks(socket, buffer, deadline, read.m_body)
                   ? std::optional{read}
                   : std::nullopt;
    }
    auto const length = read.field("Content-Length");
    if (length.empty() && is_answer)
    {
        while (receive_more(socket, buffer, deadline))
        {
        }
        read.m_body = std::exchange(buffer, {});
        return read;
    }
    auto const size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer.size() < size)
    {
        if (!receive_more(socket, buffer, deadline))
        {
            return std::nullopt;
        }
    }
    read.m_body = buffer.substr(0, size);
    buffer.erase(0, size);
    return read;
}

bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty())
    {
        auto const count =
            ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

tcp_server::tcp_server(endpoint listen, handler handle)
    : m_listen{std::move(listen)},
      m_handle{std::move(handle)}
{
}

tcp_server::~tcp_server()
{
    stop();
}

bool tcp_server::start()
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const address = to_address(m_listen);
    bool const is_open =
        ::bind(
            m_listener, reinterpret_cast<sockaddr const*>(&address),
            sizeof(address)) == 0 &&
        ::listen(m_listener, 512) == 0;
    if (is_open)
    {
        m_stopped = false;
        m_accept_thread = std::thread{[this]
                                      {
                                          accept_loop();
                                      }};
    }
    return is_open;
}

void tcp_server::stop()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopped = true;
        for (auto const socket : m_open)
        {
            linger const reset{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    if (m_accept_thread.joinable())
    {
        m_accept_thread.join();
        ::close(m_listener);
    }
    std::unique_lock lock{m_mutex};
    m_all_closed.wait(
        lock,
        [this]
        {
            return m_open.empty();
        });
}

void tcp_server::accept_loop()
{
    while (true)
    {
        {
            std::lock_guard const lock{m_mutex};
            if (m_stopped)
            {
                return;
            }
        }
        pollfd waiting{.fd = m_listener, .events = POLLIN, .revents = 0};
        if (::poll(&waiting, 1, accept_poll_ms) <= 0)
        {
            continue;
        }
        int const socket =
            ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        int const on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::lock_guard const lock{m_mutex};
        m_open.insert(socket);
        std::thread{[this, socket]
                    {
                        m_handle(socket);
                        std::lock_guard const closing{m_mutex};
                        m_open.erase(socket);
                        ::close(socket);
                        m_all_closed.notify_all();
                    }}
            .detach();
    }
}

store::store(endpoint listen)
    : m_server{
          std::move(listen), [this](int socket)
          {
              serve(socket);
          }}
{
}

bool store::start()
{
    return m_server.start();
}

void store::stop()
{
    {
        std::lock_guard const lock{m_mutex};
        m_stopped = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

void store::put(std::string const& key, std::string const& value)
{
    std::lock_guard const lock{m_mutex};
    auto& each = m_items[key];
    bool const is_new = each.m_revision == 0 || each.m_removed;
    each.m_value = value;
    each.m_removed = false;
    each.m_revision = ++m_revision;
    each.m_created = is_new ? m_revision : each.m_created;
    m_changed.notify_all();
}

void store::remove(std::string const& key)
{
    std::lock_guard const lock{m_mutex};
    auto& each = m_items[key];
    each.m_removed = true;
    each.m_revision = ++m_revision;
    m_changed.notify_all();
}

void store::serve(int socket)
{
    std::string buffer;
    while (true)
    {
        auto const asked = read_message(
            socket, buffer, steady::now() + server_idle_limit, false);
        if (!asked)
        {
            return;
        }
        auto const path = asked->path();
        auto const prefix = query_value(path, "path_prefix");
        auto const after = query_value(path, "after");
        std::string body;
        if (path.rfind("/api/kv-range", 0) == 0)
        {
            body = range(prefix, after);
        }
        else if (path.rfind("/api/kv-watch", 0) == 0)
        {
            auto const wait = std::atoi(query_value(path, "wait_ms").c_str());
            body = watch(
                prefix, std::strtoull(after.c_str(), nullptr, 10),
                milliseconds{wait});
        }
        auto const head =
            body.empty() ? "HTTP/1.1 404 Not Found\r\n" : "HTTP/1.1 200 OK\r\n";
        auto const answered = send_all(
            socket, head + std::string{"Content-Type: application/json\r\n"} +
                        "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
        if (!answered)
        {
            return;
        }
    }
}

std::string store::range(std::string const& prefix, std::string const& after)
{
    std::lock_guard const lock{m_mutex};
    std::string items;
    for (auto const& [key, each] : m_items)
    {
        if (!each.m_removed && key.rfind(prefix, 0) == 0 && key > after)
        {
            items += (items.empty() ? "" : ",") + to_json(key, each);
        }
    }
    return "{\"items\":[" + items + "],\"has_more\":false,\"current_rev\":" +
           std::to_string(m_revision) + "}";
}

std::string store::watch(
    std::string const& prefix, std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock{m_mutex};
    auto const deadline = steady::now() + wait;
    std::string events;
    while (!m_stopped)
    {
        for (auto const& [key, each] : m_items)
        {
            if (each.m_revision > after && key.rfind(prefix, 0) == 0)
            {
                events += (events.empty() ? "" : ",") + to_json(key, each);
            }
        }
        bool const is_over =
            !events.empty() ||
            m_changed.wait_until(lock, deadline) == std::cv_status::timeout;
        if (is_over)
        {
            break;
        }
    }
    return "{\"events\":[" + events +
           "],\"current_rev\":" + std::to_string(m_revision) + "}";
}

std::string store::to_json(std::string const& key, item const& each)
{
    auto const revision = std::to_string(each.m_revision);
    if (each.m_removed)
    {
        return R"({"key":")" + key + R"(","revision":)" + revision +
               R"(,"removed":true})";
    }
    return R"({"key":")" + key + R"(","value":")" +
           encode_base64(each.m_value) + R"(","revision":)" + revision +
           R"(,"created":)" + std::to_string(each.m_created) + R"(,"lease":0})";
}

backend::backend(backend_options options, recorder& record)
    : m_options{std::move(options)},
      m_record{record},
      m_server{
          m_options.m_listen, [this](int socket)
          {
              serve(socket);
          }}
{
}

bool backend::start()
{
    return m_server.start();
}

void backend::crash()
{
    m_server.stop();
}

void backend::set_override(override_answer override_next)
{
    std::lock_guard const lock{m_mutex};
    m_override = std::move(override_next);
}

backend_options const& backend::options() const
{
    return m_options;
}

std::vector<std::string> backend::runs() const
{
    std::lock_guard const lock{m_mutex};
    return m_runs;
}

std::string backend::entry(std::string const& zone) const
{
    return R"({"address":")" + m_options.m_listen.text() +
           R"(","node_info":{"service":")" + m_options.m_service +
           R"(","config_version":"v1","zone":")" + zone + R"(","slots":)" +
           std::to_string(m_options.m_slots) +
           R"(},"status":{"state":"ready","sequence":1,"warmup_left_ms":0}})";
}

std::string backend::health_answer() const
{
    return "HTTP/1.1 200 OK\r\nX-Hibiscustide-Instance-Id: " +
           m_options.m_instance +
           "\r\nX-Hibiscustide-Server-Load: " + std::to_string(m_running) +
           ",0," + std::to_string(m_options.m_slots) +
           "\r\nContent-Length: 0\r\n\r\n";
}

std::string answer_head(message const& request, std::string const& instance)
{
    auto const id = request.field("X-Hibiscustide-Request-Id");
    return "HTTP/1.1 200 OK\r\nX-Hibiscustide-Request-Id: " + id +
           "\r\nX-Hibiscustide-Server-Seal: seal." + instance + "." + id +
           "\r\n";
}

void backend::serve(int socket)
{
    std::string buffer;
    while (true)
    {
        auto const asked = read_message(
            socket, buffer, steady::now() + server_idle_limit, false);
        if (!asked)
        {
            return;
        }
        auto const id = asked->field("X-Hibiscustide-Request-Id");
        if (asked->path() == "/health")
        {
            if (!send_all(socket, health_answer()))
            {
                return;
            }
            continue;
        }
        auto const expected = asked->field("X-Hibiscustide-Expect-Instance");
        bool const is_other =
            !expected.empty() && expected != m_options.m_instance;
        if (is_other || m_running >= m_options.m_slots)
        {
            m_record.line(
                "rejected id=" + id + " by=" + m_options.m_instance +
                (is_other ? " 421" : " 503"));
            auto const status = is_other ? "421 Misdirected Request"
                                         : "503 Service Unavailable";
            if (!send_all(
                    socket, "HTTP/1.1 " + std::string{status} +
                                "\r\nX-Hibiscustide-Not-Executed: 1\r\n"
                                "X-Hibiscustide-Request-Id: " +
                                id + "\r\nContent-Length: 0\r\n\r\n"))
            {
                return;
            }
            continue;
        }
        override_answer answer_itself;
        {
            std::lock_guard const lock{m_mutex};
            m_runs.push_back(id);
            answer_itself = m_override;
        }
        m_record.line(
            "run id=" + id + " at=" + m_options.m_instance +
            " service=" + m_options.m_service + " expects=" + expected +
            " path=" + asked->path() +
            " caller=" + asked->field("X-Hibiscustide-Caller-Service"));
        ++m_running;
        pause_for(m_options.m_work);
        --m_running;
        if (answer_itself && answer_itself(socket, *asked))
        {
            return;
        }
        auto const body = "record for " + id + "\n";
        bool const answered = send_all(
            socket, answer_head(*asked, m_options.m_instance) +
                        "Content-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
        if (!answered || is_close_requested(*asked))
        {
            return;
        }
    }
}

node::node(
    std::string name, std::string directory, settings values, recorder& record)
    : m_name{std::move(name)},
      m_directory{std::move(directory)},
      m_values{std::move(values)},
      m_record{record}
{
}

node::~node()
{
    kill_now();
}

std::string node::write_settings() const
{
    std::ifstream source{node_template};
    std::stringstream text;
    text << source.rdbuf();
    auto file = m_directory + "/" + m_name + ".toml";
    std::ofstream{file} << fill_template(text.str(), m_values);
    return file;
}

bool node::start()
{
    auto const file = write_settings();
    m_is_asked_to_stop = false;
    auto const log = m_directory + "/" + m_name + ".log";
    auto const variable = settings_variable + file;
    std::string const path = "PATH=/usr/bin:/bin";
    m_pid = ::fork();
    if (m_pid == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const output =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        char* const arguments[] = {const_cast<char*>(node_program), nullptr};
        char* const environment[] = {
            const_cast<char*>(variable.c_str()),
            const_cast<char*>(path.c_str()), nullptr};
        ::execve(node_program, arguments, environment);
        ::_exit(127);
    }
    m_record.line("node " + m_name + " started pid=" + std::to_string(m_pid));
    return m_pid > 0;
}

void node::set(std::string const& key, std::string const& value)
{
    m_values[key] = value;
    static_cast<void>(write_settings());
    m_record.line("settings of " + m_name + ": " + key + " = " + value);
}

void node::send_signal(int number)
{
    if (m_pid > 0)
    {
        m_is_asked_to_stop = m_is_asked_to_stop || number == SIGTERM;
        ::kill(m_pid, number);
        m_record.line(
            "node " + m_name + " gets signal " + std::to_string(number));
    }
}

bool node::is_asked_to_stop() const
{
    return m_is_asked_to_stop;
}

void node::kill_now()
{
    if (m_pid > 0)
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_record.line("node " + m_name + " killed by the script");
        m_pid = -1;
    }
}

void node::end_for_memory(std::size_t bytes)
{
    m_record.line(
        "node " + m_name + " has " + std::to_string(bytes) +
        " bytes, above its limit");
    kill_now();
}

bool node::has_ended()
{
    if (m_pid <= 0)
    {
        return true;
    }
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
    {
        return false;
    }
    record_last_log_line();
    m_last_end = WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status))
                     : "status " + std::to_string(WEXITSTATUS(status));
    m_record.line("node " + m_name + " ended by itself: " + m_last_end);
    m_pid = -1;
    return true;
}

void node::record_last_log_line() const
{
    std::ifstream log{m_directory + "/" + m_name + ".log"};
    std::string line;
    std::string last;
    while (std::getline(log, line))
    {
        last = line.empty() ? last : line;
    }
    m_record.line("last line of " + m_name + ": " + last);
}

std::size_t node::resident_bytes() const
{
    if (m_pid <= 0)
    {
        return 0;
    }
    std::ifstream pages{"/proc/" + std::to_string(m_pid) + "/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    pages >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool node::is_ready() const
{
    auto const text = m_values.at("listen.ready");
    auto const colon = text.find(':');
    endpoint const address{
        text.substr(0, colon),
        static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
    auto const got = exchange(
        address, {.m_method = "GET",
                  .m_host = text,
                  .m_path = "/api/ready",
                  .m_id = "",
                  .m_deadline = milliseconds{500}});
    return got.status() == 200;
}

std::string const& node::name() const
{
    return m_name;
}

std::string const& node::last_end() const
{
    return m_last_end;
}

int answer::status() const
{
    return m_message ? m_message->status() : 0;
}

std::string answer::text() const
{
    if (!m_connected)
    {
        return "no connection";
    }
    return m_message ? m_message->m_start : "no complete answer";
}

answer exchange(endpoint const& node, request const& sent)
{
    answer got;
    auto const deadline = steady::now() + sent.m_deadline;
    int const socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto const address = to_address(node);
    auto const connected = ::connect(
        socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address));
    pollfd waiting{.fd = socket, .events = POLLOUT, .revents = 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    got.m_connected =
        (connected == 0 || errno == EINPROGRESS) &&
        ::poll(&waiting, 1, poll_timeout(deadline)) == 1 &&
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) == 0 &&
        failure == 0;
    if (got.m_connected)
    {
        ::fcntl(socket, F_SETFL, 0);
        std::string head = sent.m_method + " " + sent.m_path +
                           " HTTP/1.1\r\nHost: " + sent.m_host + "\r\n";
        if (!sent.m_id.empty())
        {
            head += "X-Hibiscustide-Request-Id: " + sent.m_id +
                    "\r\nX-Hibiscustide-Deadline-Ms: " +
                    std::to_string(sent.m_deadline.count()) + "\r\n";
        }
        if (!sent.m_body.empty() || sent.m_method == "POST")
        {
            head += "Content-Length: " + std::to_string(sent.m_body.size()) +
                    "\r\n";
        }
        std::string buffer;
        if (send_all(socket, head + sent.m_more_fields + "\r\n" + sent.m_body))
        {
            got.m_message = read_message(socket, buffer, deadline, true);
        }
    }
    ::close(socket);
    return got;
}

deployment::deployment(std::string const& folder, std::string work_folder)
    : m_work_folder{std::move(work_folder)},
      m_net{
          "127." + std::to_string(20 + ::getpid() % 200) + "." +
          std::to_string((::getpid() / 200) % 250) + "."},
      m_base_port{find_free_ports(m_net)},
      m_record{folder + "/record.txt"},
      m_store{std::make_unique<store>(store_address())}
{
    std::signal(SIGPIPE, SIG_IGN);
    m_record.line(std::string{"trouble "} + (is_trouble_on() ? "on" : "off"));
}

deployment::~deployment()
{
    m_store->stop();
}

std::string deployment::ip(int n) const
{
    return m_net + std::to_string(n);
}

endpoint deployment::backend_address(int n) const
{
    return {ip(n), static_cast<std::uint16_t>(m_base_port + 40)};
}

endpoint deployment::caller_address(int n) const
{
    return {ip(n), static_cast<std::uint16_t>(m_base_port + 41)};
}

endpoint deployment::store_address() const
{
    return {ip(200), static_cast<std::uint16_t>(m_base_port + 43)};
}

settings deployment::node_settings(
    int n, std::string const& zone, std::string const& service) const
{
    auto const port = [this](int offset)
    {
        return std::to_string(m_base_port + offset);
    };
    std::string seeds;
    for (int seed = 1; seed <= 3; ++seed)
    {
        seeds += (seeds.empty() ? "" : ",") + ip(seed) + ":" + port(44);
    }
    return {
        {"node_id", "sidecar-" + std::to_string(n)},
        {"zone", zone},
        {"service", service},
        {"app_addr", backend_address(n).text()},
        {"listen.outbound", caller_address(n).text()},
        {"listen.ready", ip(n) + ":" + port(42)},
        {"ip", ip(n)},
        {"internal_ports", port(0) + "," + port(15)},
        {"platform.address", store_address().text()},
        {"seeds", seeds},
        {"bootstrap", "true"},
        {"bounds.warmup_overage", "1.5"},
        {"bounds.warmup_slack", "5"},
        {"bounds.addr_reuse_s", "2"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.budget_window_s", "10"},
        {"bounds.budget_slack", "58"},
        {"bounds.grace_s", "6"},
        {"limits.link_mbps", "1000.0"}};
}

std::unique_ptr<node> deployment::make_node(
    int n, std::string const& zone, std::string const& service)
{
    return std::make_unique<node>(
        "sidecar-" + std::to_string(n), m_work_folder,
        node_settings(n, zone, service), m_record);
}

recorder& deployment::record()
{
    return m_record;
}

store& deployment::directory()
{
    return *m_store;
}

std::string make_config(
    int version, std::vector<std::string> const& services,
    std::vector<route> const& routes, int max_header_bytes)
{
    std::string text =
        R"({"config_version":)" + std::to_string(version) + R"(,"services":[)";
    for (std::size_t n = 0; n < services.size(); ++n)
    {
        text += (n > 0 ? "," : "") + std::string{R"({"name":")"} + services[n] +
                R"(","health_path":"/health","max_connections":220,)"
                R"("protocol":"h1","tls":false,"warmup_s":3.0,)"
                R"("warmup_per_s":14.0})";
    }
    text += R"(],"limits":{"max_header_bytes":)" +
            std::to_string(max_header_bytes) +
            R"(,"max_body_bytes":67108864,"header_timeout_ms":3000,)"
            R"("idle_timeout_ms":15000},"virtual_hosts":[{"host":")" +
            route_host + R"(","paths":[)";
    for (std::size_t n = 0; n < routes.size(); ++n)
    {
        auto const& each = routes[n];
        text += (n > 0 ? "," : "") + std::string{R"({"name":"r-)"} +
                std::to_string(n) + R"(","path_prefix":")" + each.m_prefix +
                R"(","route_type":")" + each.m_type + R"(","timeout_ms":)" +
                std::to_string(each.m_timeout_ms) + R"(,"target_latency_ms":)" +
                std::to_string(each.m_objective_ms) +
                R"(,"priority":1,"service":")" + each.m_service +
                R"(","attempts":)" + std::to_string(each.m_attempts) + "}";
    }
    return text + "]}]}";
}

bool wait_until(std::function<bool()> const& condition, milliseconds limit)
{
    auto const deadline = steady::now() + limit;
    while (!condition())
    {
        if (steady::now() >= deadline)
        {
            return false;
        }
        pause_for(milliseconds{50});
    }
    return true;
}

} // namespace review
