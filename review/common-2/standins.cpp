#include "standins.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using std::chrono::milliseconds;

sockaddr_in to_sockaddr(address const& value)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(value.m_port));
    inet_pton(AF_INET, value.m_ip.c_str(), &result.sin_addr);
    return result;
}

bool bind_to(int socket, address const& value)
{
    auto const name = to_sockaddr(value);
    return ::bind(
               socket, reinterpret_cast<sockaddr const*>(&name),
               sizeof(name)) == 0;
}

std::string lower(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(),
        [](unsigned char c)
        {
            return static_cast<char>(std::tolower(c));
        });
    return text;
}

std::string base64(std::string const& bytes)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            group <<= 8U;
            if (n + k < bytes.size())
            {
                group |= static_cast<unsigned char>(bytes[n + k]);
            }
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            bool const is_padding = n + k > bytes.size();
            text += is_padding ? '=' : digits[(group >> (18 - 6 * k)) & 63U];
        }
    }
    return text;
}

std::string query_value(std::string const& target, std::string const& name)
{
    auto const position = target.find(name + "=");
    if (position == std::string::npos)
    {
        return {};
    }
    auto const begin = position + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

std::string json_response(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::mt19937_64& random_numbers()
{
    static std::mt19937_64 numbers{std::random_device{}()};
    return numbers;
}

} // namespace

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds{ms});
}

record::record(std::string const& path)
    : m_file{std::fopen(path.c_str(), "w")}
{
}

record::~record()
{
    std::fclose(m_file);
}

std::int64_t record::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_start)
        .count();
}

void record::line(std::string const& text)
{
    std::lock_guard const lock{m_mutex};
    std::fprintf(
        m_file, "%8.3f %s\n", static_cast<double>(now_ms()) / 1000,
        text.c_str());
    std::fflush(m_file);
}

std::string message::field(std::string const& name) const
{
    for (auto const& [key, value] : m_fields)
    {
        if (key == name)
        {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return m_first_line.substr(0, m_first_line.find(' '));
}

std::string message::target() const
{
    auto const begin = m_first_line.find(' ') + 1;
    return m_first_line.substr(begin, m_first_line.find(' ', begin) - begin);
}

int message::status() const
{
    return std::atoi(m_first_line.substr(m_first_line.find(' ') + 1).c_str());
}

connection::~connection()
{
    ::close(m_socket);
}

bool connection::fill()
{
    char bytes[65536];
    auto const count = ::recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0)
    {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool connection::read_line(std::string& line)
{
    auto end = m_buffer.find("\r\n");
    while (end == std::string::npos)
    {
        if (!fill())
        {
            return false;
        }
        end = m_buffer.find("\r\n");
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::read_head(message& into)
{
    into = {};
    if (!read_line(into.m_first_line))
    {
        return false;
    }
    std::string line;
    while (read_line(line))
    {
        if (line.empty())
        {
            return true;
        }
        auto const colon = line.find(':');
        auto const begin = line.find_first_not_of(" \t", colon + 1);
        into.m_fields.emplace_back(
            lower(line.substr(0, colon)),
            begin == std::string::npos ? "" : line.substr(begin));
    }
    return false;
}

bool connection::read_exactly(
    std::size_t size, std::string& into,
    std::function<void(std::size_t)> const& on_bytes)
{
    while (size > 0)
    {
        if (m_buffer.empty() && !fill())
        {
            return false;
        }
        auto const count = std::min(size, m_buffer.size());
        into.append(m_buffer, 0, count);
        m_buffer.erase(0, count);
        size -= count;
        if (on_bytes)
        {
            on_bytes(into.size());
        }
    }
    return true;
}

bool connection::read_body(
    message& into, bool is_response,
    std::function<void(std::size_t)> const& on_bytes)
{
    if (lower(into.field("transfer-encoding")) == "chunked")
    {
        std::string line;
        while (read_line(line))
        {
            auto const size = std::strtoul(line.c_str(), nullptr, 16);
            if (size == 0)
            {
                return read_line(line);
            }
            if (!read_exactly(size, into.m_body, on_bytes) || !read_line(line))
            {
                return false;
            }
        }
        return false;
    }
    auto const length = into.field("content-length");
    if (!length.empty())
    {
        return read_exactly(
            std::strtoul(length.c_str(), nullptr, 10), into.m_body, on_bytes);
    }
    if (!is_response)
    {
        return true;
    }
    while (fill())
    {
    }
    into.m_body = std::exchange(m_buffer, {});
    return true;
}

bool connection::write(std::string const& bytes)
{
    std::lock_guard const lock{m_write};
    std::size_t done = 0;
    while (done < bytes.size())
    {
        auto const count = ::send(
            m_socket, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

void connection::set_timeout(int ms)
{
    timeval const limit{.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

void connection::shut()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

std::unique_ptr<connection> connect_to(
    address const& to, std::string const& from_ip)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (!from_ip.empty())
    {
        bind_to(socket, {from_ip, 0});
    }
    auto const name = to_sockaddr(to);
    if (::connect(
            socket, reinterpret_cast<sockaddr const*>(&name), sizeof(name)) !=
        0)
    {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

server::server(address listen, handler on_request)
    : m_listen{std::move(listen)},
      m_on_request{std::move(on_request)}
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!bind_to(m_listener, m_listen) || ::listen(m_listener, 512) != 0)
    {
        std::fprintf(
            stderr, "%s: %s\n", m_listen.text().c_str(), std::strerror(errno));
        std::exit(2);
    }
    m_accept = std::thread{[this]
                           {
                               accept_loop();
                           }};
}

server::~server()
{
    stop();
}

void server::stop()
{
    if (m_stopped.exchange(true))
    {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_accept.join();
    ::close(m_listener);
    {
        std::lock_guard const lock{m_mutex};
        for (auto const& each : m_connections)
        {
            if (auto const open = each.lock())
            {
                open->shut();
            }
        }
    }
    while (m_active > 0)
    {
        sleep_ms(2);
    }
}

void server::accept_loop()
{
    while (!m_stopped)
    {
        int const socket =
            ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
        {
            continue;
        }
        int const on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        auto const one = std::make_shared<connection>(socket);
        {
            std::lock_guard const lock{m_mutex};
            std::erase_if(
                m_connections,
                [](auto const& each)
                {
                    return each.expired();
                });
            m_connections.push_back(one);
        }
        ++m_active;
        std::thread{[this, one]
                    {
                        serve(one);
                        --m_active;
                    }}
            .detach();
    }
}

void server::serve(std::shared_ptr<connection> const& one)
{
    message request;
    while (!m_stopped && one->read_head(request))
    {
        if (!m_on_request(*one, request))
        {
            break;
        }
    }
    one->shut();
}

store::store(address listen)
    : m_server{
          std::move(listen), [this](connection& one, message& request)
          {
              return answer(one, request);
          }}
{
}

void store::put(std::string const& key, std::string const& json)
{
    std::lock_guard const lock{m_mutex};
    auto& one = m_items[key];
    one.m_revision = ++m_revision;
    one.m_created =
        one.m_created == 0 || one.m_removed ? m_revision : one.m_created;
    one.m_value = json;
    one.m_removed = false;
    m_changed.notify_all();
}

void store::remove(std::string const& key)
{
    std::lock_guard const lock{m_mutex};
    auto const it = m_items.find(key);
    if (it == m_items.end() || it->second.m_removed)
    {
        return;
    }
    it->second.m_removed = true;
    it->second.m_revision = ++m_revision;
    m_changed.notify_all();
}

bool store::answer(connection& one, message& request)
{
    auto const target = request.target();
    std::string body;
    if (target.starts_with("/api/kv-range"))
    {
        body = range(target);
    }
    else if (target.starts_with("/api/kv-watch"))
    {
        body = watch(target);
    }
    else
    {
        return one.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }
    return one.write(json_response(body));
}

std::string store::to_json(std::string const& key, item const& one)
{
    std::string text = "{\"key\":\"" + key +
                       "\",\"revision\":" + std::to_string(one.m_revision);
    if (one.m_removed)
    {
        return text + ",\"removed\":true}";
    }
    return text + ",\"value\":\"" + base64(one.m_value) +
           "\",\"created\":" + std::to_string(one.m_created) + ",\"lease\":0}";
}

std::string store::range(std::string const& target)
{
    std::lock_guard const lock{m_mutex};
    auto const prefix = query_value(target, "path_prefix");
    auto const after = query_value(target, "after");
    std::string list;
    for (auto const& [key, one] : m_items)
    {
        bool const is_listed =
            !one.m_removed && key.starts_with(prefix) && key > after;
        if (is_listed)
        {
            list += (list.empty() ? "" : ",") + to_json(key, one);
        }
    }
    return "{\"items\":[" + list + "],\"has_more\":false,\"current_rev\":" +
           std::to_string(m_revision) + "}";
}

std::string store::watch(std::string const& target)
{
    std::unique_lock lock{m_mutex};
    auto const prefix = query_value(target, "path_prefix");
    auto const after =
        std::strtoull(query_value(target, "after").c_str(), nullptr, 10);
    auto const wait = std::atoi(query_value(target, "wait_ms").c_str());
    m_changed.wait_for(
        lock, milliseconds{wait},
        [&]
        {
            return m_revision > after;
        });
    std::map<std::uint64_t, std::string> events;
    for (auto const& [key, one] : m_items)
    {
        if (one.m_revision > after && key.starts_with(prefix))
        {
            events[one.m_revision] = to_json(key, one);
        }
    }
    std::string list;
    for (auto const& [revision, text] : events)
    {
        list += (list.empty() ? "" : ",") + text;
    }
    return "{\"events\":[" + list +
           "],\"current_rev\":" + std::to_string(m_revision) + "}";
}

upstream::upstream(
    upstream_options options, store& entries, record& log, run_handler on_run)
    : m_options{std::move(options)},
      m_store{entries},
      m_record{log},
      m_on_run{std::move(on_run)},
      m_born_ms{unix_ms()}
{
    m_server = std::make_unique<server>(
        m_options.m_listen,
        [this](connection& one, message& request)
        {
            return answer(one, request);
        });
    m_record.line(
        "upstream " + m_options.m_id + " of " + m_options.m_service +
        " starts at " + m_options.m_listen.text());
    m_heartbeats = std::thread{[this]
                               {
                                   heartbeat_loop();
                               }};
}

upstream::~upstream()
{
    m_ended = true;
    m_server->stop();
    m_heartbeats.join();
}

void upstream::crash()
{
    m_record.line("upstream " + m_options.m_id + " crashes");
    m_ended = true;
    m_server->stop();
}

void upstream::heartbeat_loop()
{
    auto const wait = [this](int ms)
    {
        for (int n = 0; n < ms / 10 && !m_ended; ++n)
        {
            sleep_ms(10);
        }
    };
    wait(m_options.m_first_heartbeat_ms);
    auto last = steady::now();
    while (!m_ended)
    {
        put_entry();
        last = steady::now();
        wait(m_options.m_heartbeat_ms);
    }
    // The store removes the entry after three heartbeats of silence. At the end
    // of the run nobody reads it any more.
    if (m_sequence > 0)
    {
        std::this_thread::sleep_until(
            last + 3 * milliseconds{m_options.m_heartbeat_ms});
        m_record.line("store removes the entry of " + m_options.m_id);
        m_store.remove("servers/" + m_options.m_id);
    }
}

void upstream::put_entry()
{
    bool const is_first = m_sequence++ == 0;
    auto const left = std::max<std::int64_t>(
        m_options.m_cold_ms - std::chrono::duration_cast<milliseconds>(
                                  steady::now() - m_started_at)
                                  .count(),
        0);
    m_store.put(
        "servers/" + m_options.m_id,
        "{\"address\":\"" + m_options.m_listen.text() +
            "\",\"born\":" + std::to_string(m_born_ms) +
            ",\"node_info\":{\"service\":\"" + m_options.m_service +
            "\",\"config_version\":\"v1\",\"zone\":\"" + m_options.m_zone +
            "\",\"slots\":" + std::to_string(m_options.m_slots) +
            "},\"status\":{\"state\":\"ready\",\"sequence\":" +
            std::to_string(m_sequence) +
            ",\"warmup_left_ms\":" + std::to_string(left) + "}}");
    if (is_first)
    {
        m_record.line("upstream " + m_options.m_id + " has registered");
    }
}

std::string upstream::load()
{
    return std::to_string(m_running.load()) + ",0," +
           std::to_string(m_options.m_slots) + ",100";
}

std::string upstream::health()
{
    auto const left = std::max<std::int64_t>(
        m_options.m_cold_ms - std::chrono::duration_cast<milliseconds>(
                                  steady::now() - m_started_at)
                                  .count(),
        0);
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                       "X-Hibiscustide-Instance-Id: " +
                       m_options.m_id +
                       "\r\nX-Hibiscustide-Server-Load: " + load() + "\r\n";
    if (left > 0)
    {
        text += "X-Hibiscustide-Warmup-Ms: " + std::to_string(left) + "\r\n";
    }
    return text + "\r\n";
}

void upstream::run(message const& request)
{
    m_record.line(
        "upstream " + m_options.m_id + " of " + m_options.m_service + " runs " +
        request.field("x-hibiscustide-request-id") + " " + request.method() +
        " " + request.target() + " expected " +
        request.field("x-hibiscustide-expect-instance") + " caller " +
        request.field("x-hibiscustide-caller-service"));
    m_on_run(*this, request);
}

bool upstream::answer(connection& one, message& request)
{
    if (request.target() == "/health")
    {
        sleep_ms(m_options.m_health_ms);
        return one.write(health());
    }
    auto const id = request.field("x-hibiscustide-request-id");
    auto const expected = request.field("x-hibiscustide-expect-instance");
    bool const is_other = !expected.empty() && expected != m_options.m_id;
    bool has_begun = false;
    auto const on_bytes = [&](std::size_t count)
    {
        if (!is_other && !has_begun && count >= m_early_start)
        {
            has_begun = true;
            run(request);
        }
    };
    if (!one.read_body(request, false, on_bytes))
    {
        if (has_begun)
        {
            m_record.line(
                "upstream " + m_options.m_id + " stops " + id +
                ": its body breaks off");
        }
        return false;
    }
    if (is_other)
    {
        m_record.line(
            "upstream " + m_options.m_id + " answers 421 to " + id + " for " +
            expected);
        return one.write(
            "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
            "X-Hibiscustide-Request-Id: " +
            id + "\r\nX-Hibiscustide-Instance-Id: " + m_options.m_id +
            "\r\n\r\n");
    }
    if (!has_begun && m_running >= m_options.m_slots)
    {
        return one.write(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
            "X-Hibiscustide-Not-Executed: 1\r\nX-Hibiscustide-Request-Id: " +
            id + "\r\n\r\n");
    }
    ++m_running;
    if (!has_begun)
    {
        run(request);
    }
    sleep_ms(m_options.m_work_ms);
    --m_running;
    auto const seal = m_options.m_id + "." + std::to_string(++m_answers);
    auto body = "answer to " + id + "\n";
    body.resize(std::max(body.size(), m_options.m_answer_bytes), '.');
    return one.write(
        "HTTP/1.1 200 OK\r\nX-Hibiscustide-Request-Id: " + id +
        "\r\nX-Hibiscustide-Server-Seal: " + seal +
        "\r\nX-Hibiscustide-Server-Load: " + load() + "\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
}

ports find_ports(std::vector<std::string> const& ips)
{
    constexpr int internal_count = 16;
    constexpr int needed = internal_count + 5;
    auto const is_free = [&ips](int type, int port)
    {
        for (auto const& ip : ips)
        {
            int const socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            bool const is_bound = bind_to(socket, {ip, port});
            ::close(socket);
            if (!is_bound)
            {
                return false;
            }
        }
        return true;
    };
    for (int tries = 0; tries < 200; ++tries)
    {
        // Below the range of the ports that the system gives out.
        int const first =
            15'000 + static_cast<int>(random_numbers()() % 15'000);
        bool are_free = true;
        for (int port = first; port < first + needed && are_free; ++port)
        {
            are_free = is_free(SOCK_STREAM, port) && is_free(SOCK_DGRAM, port);
        }
        if (are_free)
        {
            return {
                .m_outbound = first,
                .m_inbound = first + 1,
                .m_ready = first + 2,
                .m_app = first + 3,
                .m_store = first + 4,
                .m_internal = first + 5};
        }
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
}

machine::machine(
    machine_options options, platform_options const& platform, record& log)
    : m_options{std::move(options)},
      m_platform{platform},
      m_record{log},
      m_settings{m_platform.m_folder + "/" + m_options.m_name + ".toml"}
{
}

machine::~machine()
{
    kill_node();
}

void machine::write_settings(std::string const& service, bool first_start)
{
    auto const& used = m_platform.m_ports;
    auto const number = [](double value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    };
    std::string seeds;
    for (auto const& seed : m_platform.m_seeds)
    {
        seeds += (seeds.empty() ? "" : ",") + seed;
    }
    std::map<std::string, std::string> const values{
        {"node_id", m_options.m_name},
        {"zone", m_options.m_zone},
        {"service", service},
        {"app_addr", app().text()},
        {"listen.outbound", outbound().text()},
        {"listen.ready", address{m_options.m_ip, used.m_ready}.text()},
        {"ip", m_options.m_ip},
        {"internal_ports", std::to_string(used.m_internal) + "," +
                               std::to_string(used.m_internal + 15)},
        {"platform.address", m_platform.m_store.text()},
        {"seeds", seeds},
        {"bootstrap", first_start ? "true" : "false"},
        {"bounds.warmup_overage", "1.5"},
        {"bounds.warmup_slack", "5"},
        {"bounds.addr_reuse_s", number(m_platform.m_reuse_s)},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.budget_window_s", "10"},
        {"bounds.budget_slack", "56"},
        {"bounds.grace_s", number(m_platform.m_grace_s)},
        {"limits.link_mbps", "1000.0"}};
    std::ifstream source{"deploy/node.toml"};
    std::string text{
        std::istreambuf_iterator<char>{source},
        std::istreambuf_iterator<char>{}};
    auto begin = text.find("{{");
    while (begin != std::string::npos)
    {
        auto const end = text.find("}}", begin);
        auto const it = values.find(text.substr(begin + 2, end - begin - 2));
        auto const value = it == values.end() ? std::string{} : it->second;
        text.replace(begin, end + 2 - begin, value);
        begin = text.find("{{", begin + value.size());
    }
    auto const draft = m_settings + ".new";
    std::ofstream{draft} << text;
    std::filesystem::rename(draft, m_settings);
}

void machine::start_node()
{
    auto const log = m_platform.m_folder + "/" + m_options.m_name + ".log";
    auto const setting = "HIBISCUSTIDE_SETTINGS=" + m_settings;
    m_pid = ::fork();
    if (m_pid == 0)
    {
        // The node ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const file =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::signal(SIGPIPE, SIG_DFL);
        char const* const arguments[] = {"target/bin/hibmesh", nullptr};
        char const* const variables[] = {
            setting.c_str(), "PATH=/usr/bin:/bin", "HOME=/", "LANG=C", nullptr};
        ::execve(
            arguments[0], const_cast<char* const*>(arguments),
            const_cast<char* const*>(variables));
        ::_exit(127);
    }
    m_record.line("node " + m_options.m_name + " is started");
}

void machine::signal_node(int signal)
{
    if (m_pid > 0)
    {
        m_record.line(
            "node " + m_options.m_name + " gets signal " +
            std::to_string(signal));
        ::kill(m_pid, signal);
    }
}

void machine::kill_node()
{
    if (m_pid <= 0)
    {
        return;
    }
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
    m_record.line("node " + m_options.m_name + " is killed");
}

void machine::wait_for_end(int ms)
{
    for (int waited = 0; waited < ms; waited += 10)
    {
        if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        {
            m_record.line("node " + m_options.m_name + " has ended");
            m_pid = -1;
            return;
        }
        sleep_ms(10);
    }
    kill_node();
}

bool machine::is_ready() const
{
    auto const one = connect_to({m_options.m_ip, m_platform.m_ports.m_ready});
    if (!one)
    {
        return false;
    }
    one->set_timeout(1000);
    message answer;
    return one->write("GET /api/ready HTTP/1.1\r\nHost: node\r\n"
                      "Connection: close\r\n\r\n") &&
           one->read_head(answer) && answer.status() == 200;
}

reply send_request(
    address const& to, std::string const& head, std::string const& body,
    int deadline_ms)
{
    auto const one = connect_to(to);
    if (!one)
    {
        return {};
    }
    one->set_timeout(deadline_ms);
    auto text = head;
    if (!body.empty())
    {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    reply result;
    bool const is_whole = one->write(text) &&
                          one->read_head(result.m_message) &&
                          one->read_body(result.m_message, true);
    result.m_status = is_whole ? result.m_message.status() : 0;
    return result;
}

std::string request_head(
    std::string const& method, std::string const& path, std::string const& host,
    std::string const& id, int deadline_ms)
{
    return method + " " + path + " HTTP/1.1\r\nHost: " + host +
           "\r\nX-Hibiscustide-Request-Id: " + id +
           "\r\nX-Hibiscustide-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\n";
}

std::string route_json(
    std::string const& name, std::string const& prefix, std::string const& kind,
    std::string const& service, int timeout_ms, int objective_ms)
{
    return "{\"name\":\"" + name + "\",\"path_prefix\":\"" + prefix +
           "\",\"route_type\":\"" + kind +
           "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":" + std::to_string(objective_ms) +
           ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":2}";
}

std::string config_json(
    int version, std::vector<std::string> const& services,
    std::string const& host, std::vector<std::string> const& routes)
{
    std::string list;
    for (auto const& service : services)
    {
        list += (list.empty() ? "" : ",") + std::string{"{\"name\":\""} +
                service +
                "\",\"health_path\":\"/health\",\"max_connections\":220,"
                "\"protocol\":\"h1\",\"tls\":false,\"warmup_s\":3.0,"
                "\"warmup_per_s\":14.0}";
    }
    std::string paths;
    for (auto const& route : routes)
    {
        paths += (paths.empty() ? "" : ",") + route;
    }
    return "{\"config_version\":" + std::to_string(version) +
           ",\"services\":[" + list +
           "],\"limits\":{\"max_header_bytes\":16384,"
           "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000},\"virtual_hosts\":[{\"host\":\"" +
           host + "\",\"paths\":[" + paths + "]}]}";
}

std::string new_id()
{
    static std::mutex mutex;
    std::lock_guard const lock{mutex};
    char text[20];
    std::snprintf(
        text, sizeof(text), "%016llx",
        static_cast<unsigned long long>(random_numbers()()));
    return text;
}

bool has_trouble()
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

bool wait_until_ready(std::vector<std::unique_ptr<machine>> const& machines)
{
    auto const until = steady::now() + std::chrono::seconds{15};
    while (steady::now() < until)
    {
        bool const are_ready = std::all_of(
            machines.begin(), machines.end(),
            [](auto const& each)
            {
                return each->is_ready();
            });
        if (are_ready)
        {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

std::string random_network()
{
    auto const octet = [](std::uint64_t first, std::uint64_t last)
    {
        return std::to_string(first + random_numbers()() % (last - first + 1));
    };
    return "127." + octet(64, 250) + "." + octet(1, 250);
}

std::string make_folder()
{
    auto const* const parent = std::getenv("TMPDIR");
    std::string path =
        std::string{parent == nullptr ? "/tmp" : parent} + "/review-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr)
    {
        std::fprintf(stderr, "no temporary folder\n");
        std::exit(2);
    }
    return path;
}

void remove_folder(std::string const& path)
{
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

} // namespace review
