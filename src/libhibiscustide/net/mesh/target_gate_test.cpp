// The gate of a node whose target fails requests, or is replaced by one of its
// own service or of another.
#include "net/mesh/target_gate.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include "net/headers.hpp"
#include "net/http_server.hpp"
#include "net/replies.hpp"

namespace asio = hibiscustide::net::asio;
namespace core = hibiscustide::core;
namespace directory = core::directory;
namespace mesh = hibiscustide::net::mesh;
namespace net = hibiscustide::net;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

// No other test listens on this loopback address.
core::endpoint const target_address{.m_address = "127.16.0.6", .m_port = 7'014};
constexpr char const* instance_field = "X-Instance";

mesh::protocol make_protocol()
{
    return {
        .m_read_caller =
            [](auto const&)
        {
            return mesh::caller_fields{.m_attempt = "1"};
        },
        .m_write_target = [](auto&, auto const&) {},
        .m_read_answer =
            [](auto const&)
        {
            return mesh::answer_fields{.m_attempt = "1", .m_is_genuine = true};
        },
        .m_read_health =
            [](net::http_response const& response)
        {
            return core::admission::health_answer{
                .m_healthy = true,
                .m_instance = std::string{
                    net::headers::value_of(response, instance_field)}};
        },
        .m_write_attempt = [](auto&, auto const&) {},
        .m_is_hop_by_hop =
            [](auto)
        {
            return false;
        },
        .m_ready_path = "/ready"};
}

directory::target make_entry(
    std::string const& instance, std::string const& service)
{
    return {
        .m_instance = instance,
        .m_service = service,
        .m_address = target_address,
        .m_failure_domain = "one",
        .m_slots = 4};
}

directory::directory_ptr make_directory(std::vector<directory::target> entries)
{
    directory::configuration config{
        .m_version = 1,
        .m_services = {
            {.m_name = "booking",
             .m_health_path = "/health",
             .m_max_connections = 50},
            {.m_name = "records",
             .m_health_path = "/health",
             .m_max_connections = 50}}};
    return std::make_shared<directory::directory const>(
        std::make_shared<directory::configuration const>(std::move(config)),
        std::move(entries), std::set<std::string>{});
}

// A target that counts the requests it runs.
class counting_target
{
public:
    counting_target(asio::io_context& context, std::string instance)
        : m_server{std::make_shared<net::http_server>(
              context, net::http_server_options{.m_listen = target_address},
              net::http_handler{
                  [this, instance = std::move(instance)](
                      net::http_request& request,
                      std::shared_ptr<net::cancel_scope> const& /*scope*/)
                      -> net::awaitable<net::http_response>
                  {
                      bool const is_run = request.target() != "/health";
                      m_runs += is_run ? 1 : 0;
                      auto response = net::text_reply(
                          is_run ? m_status : net::status::ok, "");
                      response.set(instance_field, instance);
                      co_return response;
                  }},
              net::malformed_reply)}
    {
        REQUIRE_FALSE(m_server->start().has_value());
    }

    // Ends as a process does.
    void end()
    {
        m_server->stop_accepting();
        m_server->close_idle();
    }

    // Requests end with a status 500 from now on, health checks are good.
    void fail_requests()
    {
        m_status = net::status::internal_server_error;
    }

    [[nodiscard]] int runs() const noexcept
    {
        return m_runs;
    }

private:
    int m_runs = 0;
    net::status m_status = net::status::ok;
    std::shared_ptr<net::http_server> m_server;
};

// The gate of a node whose settings name the service "booking".
struct fixture
{
    fixture()
    {
        m_gate.set_directory(
            make_directory({make_entry("i-first", "booking")}));
        m_gate.start();
    }

    // Long enough for several probes.
    void wait()
    {
        m_context.restart();
        m_context.run_for(200ms);
    }

    // Sends a request of the service. Returns whether the target ran it.
    bool is_run(std::string const& service)
    {
        bool is_answered = false;
        m_gate.run(
            {.m_attempt = "1",
             .m_service = service,
             .m_method = "GET",
             .m_path = "/x",
             .m_deadline_left_ms = 1'000},
            {},
            [&](mesh::run_result const& result)
            {
                is_answered = result.m_outcome == mesh::outcome::answered;
            });
        wait();
        return is_answered;
    }

    asio::io_context m_context;
    mesh::protocol m_protocol = make_protocol();
    core::admission::poison_request_detector m_detector;
    net::metrics m_counts;
    mesh::target_gate m_gate{
        m_context,
        {.m_target = target_address,
         .m_service = "booking",
         .m_address_reuse = 2s},
        m_protocol,
        m_detector,
        m_counts};
};

} // namespace

TEST_CASE("a target that runs before the node gets requests under its "
          "predecessor's entry")
{
    fixture test;
    counting_target const successor{test.m_context, "i-second"};
    test.wait();
    CHECK(test.is_run("booking"));
    CHECK(successor.runs() == 1);
}

// The target had ended before the node started. Its address had been free for
// longer than the node knew, and went to another service.
TEST_CASE("a target that starts after the node gets no requests before it has "
          "registered")
{
    fixture test;
    test.wait();
    counting_target const other{test.m_context, "i-second"};
    test.wait();
    CHECK_FALSE(test.is_run("booking"));
    CHECK(other.runs() == 0);
    test.m_gate.set_directory(make_directory(
        {make_entry("i-first", "booking"), make_entry("i-second", "records")}));
    CHECK_FALSE(test.is_run("booking"));
    CHECK(test.is_run("records"));
    CHECK(other.runs() == 1);
}

// Requests named the service of the start as their caller until the next start.
TEST_CASE("the service of a node follows the registration of its target and "
          "the settings")
{
    fixture test;
    counting_target first{test.m_context, "i-first"};
    test.wait();
    CHECK(test.m_gate.service() == "booking");
    first.end();
    test.wait();
    counting_target const second{test.m_context, "i-second"};
    test.wait();
    CHECK(test.m_gate.service() == "booking");
    auto const registered = make_directory(
        {make_entry("i-first", "booking"), make_entry("i-second", "records")});
    test.m_gate.set_directory(registered);
    CHECK(test.m_gate.service() == "records");
    test.m_gate.set_service("billing");
    CHECK(test.m_gate.service() == "billing");
    // The entry is older than the settings.
    test.m_gate.set_directory(registered);
    CHECK(test.m_gate.service() == "billing");
}

// Requests whose calls were refused by a full service ended with 500. Their
// targets were taken for unhealthy, and requests went to other failure domains.
TEST_CASE("failures after failed calls of the target leave its health "
          "unchanged, others do not")
{
    fixture test;
    counting_target target{test.m_context, "i-first"};
    target.fail_requests();
    test.wait();
    CHECK(test.m_gate.is_target(target_address.m_address));
    CHECK_FALSE(test.m_gate.is_target("127.16.0.7"));
    for (int n = 0; n < 3; ++n)
    {
        test.m_gate.on_call_failed();
        CHECK(test.is_run("booking"));
    }
    CHECK(target.runs() == 3);
    CHECK(test.m_gate.report().m_failure_percent == 0);
    CHECK(test.is_run("booking"));
    CHECK(test.m_gate.report().m_failure_percent > 0);
}
