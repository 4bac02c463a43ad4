// The settings files of three machines in ten change: addr_reuse_s, so far 2,
// is 2.5. These machines get SIGHUP, and later SIGTERM in turn, and start
// again.
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "../common/traffic.hpp"

namespace
{

using namespace review;

constexpr int machines = 10;
constexpr int changed_machines = 3;
constexpr milliseconds between_changes{1'000};
constexpr milliseconds between_stops{7'000};
constexpr milliseconds at_the_end{10'000};
constexpr milliseconds request_interval{100};
constexpr milliseconds start_limit{10'000};
constexpr int ends_that_count = 3;
constexpr int machines_that_break_the_rule = 2;

std::string zone_of(int machine)
{
    return "sul-" + std::to_string(machine % 3);
}

bool start_machine(
    deployment& place, int n, std::vector<std::unique_ptr<backend>>& backends,
    std::vector<std::unique_ptr<node>>& nodes)
{
    backends.push_back(std::make_unique<backend>(
        backend_options{
            .m_listen = place.backend_address(n),
            .m_service = "etiquetas",
            .m_instance = "i-" + std::to_string(n)},
        place.record()));
    auto const& added = *backends.back();
    nodes.push_back(place.make_node(n, zone_of(n), "etiquetas"));
    place.directory().put(
        "servers/" + added.options().m_instance, added.entry(zone_of(n)));
    return backends.back()->start() && nodes.back()->start();
}

int play(std::string const& folder, std::string const& work_folder)
{
    deployment place{folder, work_folder};
    auto& record = place.record();
    if (!place.directory().start())
    {
        return could_not_run;
    }
    place.directory().put(
        "op/config", make_config(
                         1, {"etiquetas"},
                         {{.m_prefix = "/registro/",
                           .m_type = "safe",
                           .m_service = "etiquetas"}}));
    std::vector<std::unique_ptr<backend>> backends;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<node*> watched;
    for (int n = 1; n <= machines; ++n)
    {
        if (!start_machine(place, n, backends, nodes))
        {
            return could_not_run;
        }
        watched.push_back(nodes.back().get());
    }
    for (auto* const each : watched)
    {
        bool const is_ready = wait_until(
            [each]
            {
                return each->is_ready();
            },
            start_limit);
        if (!is_ready)
        {
            return could_not_run;
        }
    }
    supervisor platform{watched, 0};
    platform.start();
    std::vector<std::unique_ptr<client_group>> clients;
    for (int n = 1; n <= machines; ++n)
    {
        clients.push_back(std::make_unique<client_group>(
            place.caller_address(n), request_interval,
            [n](int number)
            {
                auto const id =
                    std::to_string(n) + "-" + std::to_string(number);
                return request{
                    .m_method = "GET",
                    .m_host = route_host,
                    .m_path = "/registro/" + id,
                    .m_id = id};
            },
            record));
        clients.back()->start();
    }
    for (int n = 0; n < changed_machines; ++n)
    {
        pause_for(between_changes);
        if (is_trouble_on())
        {
            watched[n]->set("bounds.addr_reuse_s", "2.5");
            watched[n]->send_signal(SIGHUP);
        }
    }
    for (int n = 0; n < changed_machines; ++n)
    {
        pause_for(between_stops);
        watched[n]->send_signal(SIGTERM);
    }
    pause_for(at_the_end);
    int machines_that_count = 0;
    for (std::size_t n = 0; n < nodes.size(); ++n)
    {
        auto const ends = platform.own_ends(n);
        record.line(
            "node " + nodes[n]->name() + " ended by itself " +
            std::to_string(ends) + " times, last by " + nodes[n]->last_end() +
            (nodes[n]->is_ready() ? "; ready" : "; not ready"));
        machines_that_count += ends >= ends_that_count ? 1 : 0;
    }
    int sent = 0;
    int succeeded = 0;
    for (auto const& each : clients)
    {
        each->stop();
        sent += each->sent();
        succeeded += each->succeeded();
    }
    platform.stop();
    for (auto const& each : nodes)
    {
        each->kill_now();
    }
    record.line(
        "requests " + std::to_string(sent) + ", answered with 200 " +
        std::to_string(succeeded));
    bool const is_broken = machines_that_count >= machines_that_break_the_rule;
    if (!is_broken && succeeded * 10 < sent * 9)
    {
        return could_not_run;
    }
    return is_broken ? rule_broken : rule_held;
}

} // namespace

int main(int, char** argv)
{
    return play(argv[1], argv[2]);
}
