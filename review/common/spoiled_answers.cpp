#include "spoiled_answers.hpp"

#include <atomic>
#include <memory>
#include <vector>

namespace review
{

namespace
{

constexpr int machines = 6;
constexpr int spoiling_machines = 3; // Half of the back ends.
constexpr std::size_t memory_bytes = 260'000'000;
constexpr milliseconds spoil_time{5'000};
constexpr milliseconds pause_between{2'000};
constexpr milliseconds request_interval{50};
constexpr milliseconds start_limit{10'000};

// The rule counts machines whose processes end by themselves this often.
constexpr int ends_that_count = 3;
constexpr int machines_that_break_the_rule = 2;

std::string zone_of(int machine)
{
    return "sul-" + std::to_string(machine % 3);
}

class spoiled_fleet
{
public:
    spoiled_fleet(
        std::string const& folder, std::string const& work_folder,
        spoil_options options)
        : m_options{std::move(options)},
          m_place{folder, work_folder}
    {
    }

    [[nodiscard]] bool start()
    {
        auto& store = m_place.directory();
        if (!store.start())
        {
            return false;
        }
        store.put(
            "op/config", make_config(
                             1, {"etiquetas"},
                             {{.m_prefix = "/registro/",
                               .m_type = m_options.m_route_type,
                               .m_service = "etiquetas",
                               .m_timeout_ms = m_options.m_timeout_ms,
                               .m_objective_ms = m_options.m_objective_ms}}));
        for (int n = 1; n <= machines; ++n)
        {
            if (!start_machine(n))
            {
                return false;
            }
        }
        for (auto const& each : m_nodes)
        {
            bool const is_ready = wait_until(
                [&each]
                {
                    return each->is_ready();
                },
                start_limit);
            if (!is_ready)
            {
                return false;
            }
        }
        return true;
    }

    void play()
    {
        std::vector<node*> watched;
        for (auto const& each : m_nodes)
        {
            watched.push_back(each.get());
        }
        m_platform = std::make_unique<supervisor>(watched, memory_bytes);
        m_platform->start();
        for (int n = 1; n <= machines; ++n)
        {
            start_clients(n);
        }
        for (int n = 0; n < m_options.m_periods; ++n)
        {
            pause_for(pause_between);
            m_is_spoiling = is_trouble_on();
            pause_for(spoil_time);
            m_is_spoiling = false;
        }
        pause_for(pause_between);
        for (auto const& each : m_clients)
        {
            each->stop();
        }
        m_platform->stop();
        for (auto const& each : m_nodes)
        {
            each->kill_now();
        }
    }

    [[nodiscard]] int judge()
    {
        auto& record = m_place.record();
        int machines_that_count = 0;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
        {
            auto const ends = m_platform->own_ends(n);
            record.line(
                "node " + m_nodes[n]->name() + " ended by itself " +
                std::to_string(ends) + " times, last by " +
                m_nodes[n]->last_end() + "; peak memory " +
                std::to_string(m_platform->peak_bytes(n)) + " bytes");
            machines_that_count += ends >= ends_that_count ? 1 : 0;
        }
        int sent = 0;
        int succeeded = 0;
        for (auto const& each : m_clients)
        {
            sent += each->sent();
            succeeded += each->succeeded();
        }
        record.line(
            "requests " + std::to_string(sent) + ", answered with 200 " +
            std::to_string(succeeded) + "; spoiled answers " +
            std::to_string(m_spoiled));
        bool const is_broken =
            machines_that_count >= machines_that_break_the_rule;
        if (!is_broken && succeeded * 10 < sent * 9)
        {
            return could_not_run;
        }
        return is_broken ? rule_broken : rule_held;
    }

private:
    [[nodiscard]] bool start_machine(int n)
    {
        m_backends.push_back(std::make_unique<backend>(
            backend_options{
                .m_listen = m_place.backend_address(n),
                .m_service = "etiquetas",
                .m_instance = "i-" + std::to_string(n)},
            m_place.record()));
        auto& added = *m_backends.back();
        if (n <= spoiling_machines)
        {
            added.set_override(
                [this, &added](int socket, message const& asked)
                {
                    return spoil(socket, asked, added.options().m_instance);
                });
        }
        if (!added.start())
        {
            return false;
        }
        m_place.directory().put(
            "servers/" + added.options().m_instance, added.entry(zone_of(n)));
        m_nodes.push_back(m_place.make_node(n, zone_of(n), "etiquetas"));
        return m_nodes.back()->start();
    }

    void start_clients(int n)
    {
        m_clients.push_back(std::make_unique<client_group>(
            m_place.caller_address(n), request_interval,
            [this, n](int number)
            {
                auto const id =
                    std::to_string(n) + "-" + std::to_string(number);
                return request{
                    .m_method =
                        m_options.m_route_type == "safe" ? "GET" : "POST",
                    .m_host = route_host,
                    .m_path = "/registro/" + id,
                    .m_id = id,
                    .m_deadline = m_options.m_deadline};
            },
            m_place.record()));
        m_clients.back()->start();
    }

    bool spoil(int socket, message const& asked, std::string const& instance)
    {
        bool const is_spoiled =
            m_is_spoiling &&
            ++m_answers % m_options.m_answers_per_spoiled_one == 0;
        if (is_spoiled)
        {
            ++m_spoiled;
            m_place.record().line(
                "spoiled answer id=" +
                asked.field("X-Hibiscustide-Request-Id") + " by=" + instance);
            m_options.m_send(socket, asked, instance);
        }
        return is_spoiled;
    }

    spoil_options m_options;
    deployment m_place;
    std::vector<std::unique_ptr<backend>> m_backends;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<client_group>> m_clients;
    std::unique_ptr<supervisor> m_platform;
    std::atomic<bool> m_is_spoiling{false};
    std::atomic<int> m_answers{0};
    std::atomic<int> m_spoiled{0};
};

} // namespace

int play_spoiled_answers(
    std::string const& folder, std::string const& work_folder,
    spoil_options const& options)
{
    spoiled_fleet fleet{folder, work_folder, options};
    if (!fleet.start())
    {
        return could_not_run;
    }
    fleet.play();
    return fleet.judge();
}

} // namespace review
