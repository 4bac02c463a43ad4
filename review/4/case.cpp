// The configuration changes: the permitted size of a request's head grows from
// 16,384 to 131,072 bytes. Then one request in fifty has a Cookie field of
// 70,000 bytes.
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "../common/traffic.hpp"

namespace
{

using namespace review;

constexpr int machines = 6;
constexpr int usual_header_bytes = 16'384;
constexpr int raised_header_bytes = 131'072;
constexpr std::size_t usual_cookie_bytes = 8'000;
constexpr std::size_t long_cookie_bytes = 70'000;
constexpr int requests_per_long_one = 50;
constexpr milliseconds request_interval{50};
constexpr milliseconds start_limit{10'000};
constexpr milliseconds before_change{3'000};

// The rule gives a configuration two seconds to come into force.
constexpr milliseconds config_apply{2'000};
constexpr milliseconds after_change{30'000};

constexpr int ends_that_count = 3;
constexpr int machines_that_break_the_rule = 2;

std::string zone_of(int machine)
{
    return "sul-" + std::to_string(machine % 3);
}

std::string config(int version, int max_header_bytes)
{
    return make_config(
        version, {"etiquetas"},
        {{.m_prefix = "/registro/",
          .m_type = "safe",
          .m_service = "etiquetas"}},
        max_header_bytes);
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
    place.directory().put("op/config", config(1, usual_header_bytes));
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
    std::atomic<bool> is_raised{false};
    std::vector<std::unique_ptr<client_group>> clients;
    for (int n = 1; n <= machines; ++n)
    {
        clients.push_back(std::make_unique<client_group>(
            place.caller_address(n), request_interval,
            [n, &is_raised](int number)
            {
                auto const id =
                    std::to_string(n) + "-" + std::to_string(number);
                bool const is_long =
                    is_raised && number % requests_per_long_one == 0;
                std::string const cookie(
                    is_long ? long_cookie_bytes : usual_cookie_bytes, 'c');
                return request{
                    .m_method = "GET",
                    .m_host = route_host,
                    .m_path = "/registro/" + id + (is_long ? "-long" : ""),
                    .m_id = id,
                    .m_more_fields = "Cookie: " + cookie + "\r\n"};
            },
            record));
        clients.back()->start();
    }
    pause_for(before_change);
    if (is_trouble_on())
    {
        record.line("configuration 2: max_header_bytes 131072");
        place.directory().put("op/config", config(2, raised_header_bytes));
        pause_for(config_apply);
        is_raised = true;
    }
    pause_for(after_change);
    int sent = 0;
    int succeeded = 0;
    for (auto const& each : clients)
    {
        each->stop();
        sent += each->sent();
        succeeded += each->succeeded();
    }
    platform.stop();
    int machines_that_count = 0;
    for (std::size_t n = 0; n < nodes.size(); ++n)
    {
        auto const ends = platform.own_ends(n);
        record.line(
            "node " + nodes[n]->name() + " ended by itself " +
            std::to_string(ends) + " times, last by " + nodes[n]->last_end());
        machines_that_count += ends >= ends_that_count ? 1 : 0;
        nodes[n]->kill_now();
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
