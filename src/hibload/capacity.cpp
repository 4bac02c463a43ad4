#include "capacity.hpp"

#include <exception>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <hibiscustide/core/json_reader.hpp>
#include <hibiscustide/core/release/digest.hpp>
#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/release/note_codec.hpp>
#include <hibiscustide/core/release/readers.hpp>

#include "child_process.hpp"
#include "net/fetch.hpp"
#include "region_plan.hpp"
#include "work_folder.hpp"

namespace hibiscustide::load
{

namespace
{

namespace asio = net::asio;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

using net::no_throw;

// The proportions of the specified fleet of 5,700 targets in 950 services and 8
// failure domains.
constexpr std::size_t targets_per_service = 6;
constexpr std::size_t failure_domains = 8;

// Differs from the ports of other runs, because the peer listens on all
// addresses.
constexpr std::uint16_t peer_port = 7'450;
constexpr milliseconds ready_timeout{30'000};
constexpr milliseconds check_interval{5};
constexpr milliseconds settling_time{3'000};
constexpr milliseconds change_interval{200};

std::string numbered_name(char const* kind, std::size_t number)
{
    return kind + std::to_string(number);
}

std::string domain_of(std::size_t target)
{
    return numbered_name("domain-", target % failure_domains);
}

core::release::target_spec make_target(unsigned network, std::size_t number)
{
    constexpr std::size_t hosts = 250;
    return {
        .m_name = numbered_name("t-", number),
        .m_service = numbered_name("s-", number / targets_per_service),
        .m_failure_domain = domain_of(number),
        .m_node = fmt::format(
            "127.{}.{}.{}:{}", network, 2 + number / hosts, 1 + number % hosts,
            peer_port)};
}

// Creates a note with `targets` targets. The node addresses of all targets but
// the measured node's reach the one peer process, which listens on all
// addresses.
core::release::release_note make_note(
    region_plan const& plan, unsigned network, std::size_t targets)
{
    auto note = core::release::release_note{.m_revision = 1};
    auto spec = plan.m_services.front().m_spec;
    for (std::size_t n = 0; n < failure_domains; ++n)
    {
        note.m_failure_domains.m_added.push_back(
            {.m_name = numbered_name("domain-", n), .m_region = "r"});
    }
    for (std::size_t n = 0; n * targets_per_service < targets; ++n)
    {
        spec.m_name = numbered_name("s-", n);
        note.m_services.m_added.push_back(spec);
    }
    for (std::size_t n = 0; n < targets; ++n)
    {
        note.m_targets.m_added.push_back(make_target(network, n));
    }
    return note;
}

double resident_mb(pid_t process)
{
    std::ifstream in{fmt::format("/proc/{}/status", process)};
    std::string line;
    while (std::getline(in, line))
    {
        if (line.starts_with("VmRSS:"))
        {
            constexpr double kb_per_mb = 1'024.0;
            return std::stod(line.substr(line.find(':') + 1)) / kb_per_mb;
        }
    }
    return 0.0;
}

// Returns the user and system time that the process has used, in milliseconds.
double cpu_ms(pid_t process)
{
    std::ifstream in{fmt::format("/proc/{}/stat", process)};
    std::string text{std::istreambuf_iterator<char>{in}, {}};
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    constexpr int fields_before_times = 11;
    std::string ignored;
    for (int n = 0; n < fields_before_times; ++n)
    {
        fields >> ignored;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    constexpr double ms_per_s = 1'000.0;
    return (user + system) * ms_per_s /
           static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Runs the processes and the measurement for one fleet size.
class point_measurement
{
public:
    point_measurement(
        asio::io_context& context, capacity_options const& options,
        std::size_t targets, std::filesystem::path const& work)
        : m_context{context},
          m_options{options},
          m_work{work},
          m_network{loopback_network_for_process()},
          m_plan{make_region_plan("agencia", m_network).value()}
    {
        m_point.m_targets = targets;
    }

    net::awaitable<capacity_point> run()
    {
        start_platform();
        co_await wait_for(m_plan.m_platform, "/admin/counts");
        auto const first = make_note(m_plan, m_network, m_point.m_targets);
        select_reader(first);
        co_await publish(first);
        start_target();
        start_peer();
        co_await wait_for(peer_admin(), "/health");
        auto const start_time = clock::now();
        start_node();
        co_await wait_for(node_admin(), "/health");
        std::chrono::duration<double, std::milli> const elapsed =
            clock::now() - start_time;
        m_point.m_start_ms = elapsed.count();
        co_await sleep_for(settling_time);
        co_await measure_idle();
        co_await measure_changes();
        co_return m_point;
    }

private:
    // Selects a node that reads the configuration service, since a reader does
    // all the work of other nodes and these reads as well.
    void select_reader(core::release::release_note const& note)
    {
        auto const applied = core::release::apply({}, note, "capacity");
        auto const& fleet = std::get<core::release::fleet>(applied);
        for (auto const& target : fleet.targets())
        {
            if (core::release::is_reader(fleet, target.m_name))
            {
                m_node_name = target.m_name;
                return;
            }
        }
    }

    net::awaitable<void> measure_idle()
    {
        auto const before = co_await read_counters();
        auto const cpu_before = cpu_ms(m_node->id());
        co_await sleep_for(m_options.m_span);
        auto const cpu_after = cpu_ms(m_node->id());
        auto const after = co_await read_counters();
        auto const span_s = static_cast<double>(m_options.m_span.count());
        constexpr double ms_per_s = 1'000.0;
        auto const rate = [&](char const* name)
        {
            return (after[name].asDouble() - before[name].asDouble()) / span_s;
        };
        m_point.m_idle_cpu_share =
            (cpu_after - cpu_before) / (span_s * ms_per_s);
        m_point.m_peer_calls_per_s = rate("peer_calls");
        m_point.m_peer_bytes_per_s =
            rate("peer_bytes_sent") + rate("peer_bytes_received");
        m_point.m_service_reads_per_s = rate("platform_reads");
        m_point.m_probes_per_s = rate("probes");
    }

    // Publishes notes that each move one target to another failure domain. The
    // idle CPU time of the same span is subtracted.
    net::awaitable<void> measure_changes()
    {
        auto const cpu_before = cpu_ms(m_node->id());
        auto const start_time = clock::now();
        for (std::size_t n = 0; n < m_options.m_changes; ++n)
        {
            core::release::release_note note;
            auto target = make_target(m_network, m_point.m_targets - 1);
            target.m_failure_domain = domain_of(n);
            note.m_targets.m_changed = {target};
            co_await publish(note);
            co_await sleep_for(change_interval);
        }
        co_await wait_for_revision();
        std::chrono::duration<double, std::milli> const span =
            clock::now() - start_time;
        auto const used_cpu_ms = cpu_ms(m_node->id()) - cpu_before;
        auto const idle_cpu_ms = m_point.m_idle_cpu_share * span.count();
        m_point.m_change_cpu_ms = (used_cpu_ms - idle_cpu_ms) /
                                  static_cast<double>(m_options.m_changes);
        m_point.m_memory_mb = resident_mb(m_node->id());
    }

    net::awaitable<void> publish(core::release::release_note note)
    {
        note.m_revision = ++m_revision;
        note.m_predecessor = m_digest;
        auto const text = core::release::write_note(note);
        if (m_revision == 1)
        {
            m_point.m_note_bytes = static_cast<double>(text.size());
        }
        m_digest = core::release::digest_of(text);
        auto const response = co_await net::fetch(
            m_context, m_plan.m_platform, "/admin/release", text);
        if (!response)
        {
            throw std::runtime_error{"the platform rejected a release note"};
        }
    }

    net::awaitable<void> wait_for_revision()
    {
        auto const deadline = clock::now() + ready_timeout;
        while (clock::now() < deadline)
        {
            auto const state = co_await read_node_state();
            if (state["release"]["revision"].asUInt64() == m_revision)
            {
                co_return;
            }
            co_await sleep_for(check_interval);
        }
        throw std::runtime_error{
            "the node did not apply the published notes in time"};
    }

    net::awaitable<Json::Value> read_counters()
    {
        auto const state = co_await read_node_state();
        co_return state["counters"];
    }

    net::awaitable<Json::Value> read_node_state()
    {
        auto const response =
            co_await net::fetch(m_context, node_admin(), "/state");
        core::field_errors errors;
        auto const text = response ? response->body() : "{}";
        auto state = core::parse_json(text, "state", errors);
        co_return state.value_or(Json::Value{Json::objectValue});
    }

    net::awaitable<void> wait_for(core::endpoint server, std::string target)
    {
        auto const deadline = clock::now() + ready_timeout;
        while (clock::now() < deadline)
        {
            auto const response =
                co_await net::fetch(m_context, server, target);
            if (response && response->result() == net::status::ok)
            {
                co_return;
            }
            co_await sleep_for(check_interval);
        }
        throw std::runtime_error{
            core::to_string(server) + " was not ready in time"};
    }

    net::awaitable<void> sleep_for(milliseconds span)
    {
        asio::steady_timer timer{m_context, span};
        co_await timer.async_wait(no_throw);
    }

    void start_platform()
    {
        m_platform = start(
            "hibplatform", {"--listen", core::to_string(m_plan.m_platform)});
    }

    void start_target()
    {
        m_target = start(
            "hibtarget", {"--name", m_node_name, "--listen",
                          core::to_string(m_plan.m_reference)});
    }

    void start_peer()
    {
        core::endpoint const everywhere{"0.0.0.0", peer_port};
        m_peer = start(
            "hibnode",
            node_arguments("peer", "127.{}.1.2", everywhere, peer_admin()));
    }

    void start_node()
    {
        core::endpoint const peers{address("127.{}.1.1"), peer_port + 1};
        m_node = start(
            "hibnode",
            node_arguments(m_node_name, "127.{}.1.1", peers, node_admin()));
    }

    [[nodiscard]] std::vector<std::string> node_arguments(
        std::string const& name, char const* pattern,
        core::endpoint const& peers, core::endpoint const& admin) const
    {
        constexpr std::uint16_t caller_port = 7'000;
        core::endpoint const callers{address(pattern), caller_port};
        return {"--name",           name,
                "--failure-domain", domain_of(0),
                "--caller-listen",  core::to_string(callers),
                "--peer-listen",    core::to_string(peers),
                "--admin-listen",   core::to_string(admin),
                "--target",         core::to_string(m_plan.m_reference),
                "--platform",       core::to_string(m_plan.m_platform)};
    }

    [[nodiscard]] std::unique_ptr<child_process> start(
        char const* program, std::vector<std::string> const& arguments) const
    {
        return std::make_unique<child_process>(
            m_options.m_programs / program, arguments, m_work / "all.log");
    }

    [[nodiscard]] std::string address(char const* pattern) const
    {
        return fmt::format(fmt::runtime(pattern), m_network);
    }

    [[nodiscard]] core::endpoint node_admin() const
    {
        return m_plan.m_targets[0].m_node_admin;
    }

    [[nodiscard]] core::endpoint peer_admin() const
    {
        return m_plan.m_targets[1].m_node_admin;
    }

    asio::io_context& m_context;
    capacity_options const& m_options;
    std::filesystem::path m_work;
    unsigned m_network;
    region_plan m_plan;
    capacity_point m_point;
    std::uint64_t m_revision = 0;
    std::string m_digest;
    std::string m_node_name;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_target;
    std::unique_ptr<child_process> m_peer;
    std::unique_ptr<child_process> m_node;
};

} // namespace

std::vector<capacity_point> measure_capacity(capacity_options const& options)
{
    std::vector<capacity_point> points;
    for (auto const size : options.m_sizes)
    {
        work_folder const work{false};
        asio::io_context context{1};
        point_measurement measurement{context, options, size, work.path()};
        std::exception_ptr failure;
        asio::co_spawn(
            context, measurement.run(),
            [&](std::exception_ptr const& thrown, capacity_point point)
            {
                failure = thrown;
                points.push_back(point);
                context.stop();
            });
        context.run();
        if (failure)
        {
            std::rethrow_exception(failure);
        }
    }
    return points;
}

} // namespace hibiscustide::load
