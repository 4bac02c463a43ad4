#include "net/traffic_thread.hpp"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/failure_guard.hpp"
#include "net/headers.hpp"
#include "net/replies.hpp"
#include "net/rpc.hpp"

namespace hibiscustide::net
{

namespace
{

ingress_options make_ingress_options(
    core::config::node_settings const& settings, std::uint64_t seed)
{
    return {
        .m_name = settings.m_name,
        .m_failure_domain = settings.m_failure_domain,
        .m_target = settings.m_target,
        .m_local_address = settings.m_peer_listen.m_address,
        .m_policy = core::routing::parse_policy(settings.m_policy)
                        .value_or(core::routing::sampled_load{}),
        .m_seed = seed};
}

http_server_options make_server_options(
    core::config::node_settings const& settings, core::endpoint const& listen)
{
    return {
        .m_listen = listen,
        .m_limits = {.m_max_body_bytes = settings.m_max_body_bytes},
        .m_reuse_port = settings.m_traffic_threads > 1};
}

bool is_rpc(http_request const& request)
{
    return request.method() == beast::http::verb::post &&
           request.target() ==
               beast::string_view{rpc::path.data(), rpc::path.size()};
}

} // namespace

traffic_thread::traffic_thread(
    core::config::node_settings const& settings, std::uint64_t seed,
    gate& local_gate, order_registry& orders, metrics& counts,
    rpc_request_handler rpc)
    : m_work{asio::make_work_guard(m_context)},
      m_counts{counts},
      m_rpc{std::move(rpc)},
      m_ingress{
          m_context, make_ingress_options(settings, seed), local_gate, orders,
          counts}
{
    auto on_caller_request =
        [this](
            http_request& request, std::shared_ptr<cancel_scope> const& scope)
    {
        return m_ingress.serve(request, call_origin::external, scope);
    };
    auto on_peer_request =
        [this](
            http_request& request, std::shared_ptr<cancel_scope> const& scope)
    {
        return serve_peer(request, scope);
    };
    m_caller_server = std::make_shared<http_server>(
        m_context, make_server_options(settings, settings.m_caller_listen),
        on_caller_request, malformed_reply);
    // The limits for peers are larger, because a node must accept whatever
    // another node accepts from a caller, and release notes and stored answers
    // as well.
    auto peer_options = make_server_options(settings, settings.m_peer_listen);
    constexpr std::size_t peer_body_factor = 8;
    peer_options.m_limits.m_max_body_bytes *= peer_body_factor;
    peer_options.m_limits.m_max_header_bytes *= 2;
    m_peer_server = std::make_shared<http_server>(
        m_context, peer_options, on_peer_request, malformed_reply);
}

traffic_thread::~traffic_thread()
{
    stop();
}

std::optional<std::string> traffic_thread::start()
{
    if (auto failure = m_caller_server->start())
    {
        return failure;
    }
    if (auto failure = m_peer_server->start())
    {
        return failure;
    }
    m_thread = std::thread{[this]
                           {
                               run_guarded(m_context);
                           }};
    return std::nullopt;
}

void traffic_thread::change_fleet(
    std::shared_ptr<core::release::fleet const> fleet)
{
    asio::post(
        m_context,
        [this, fleet = std::move(fleet)]() mutable
        {
            m_ingress.change_fleet(std::move(fleet));
        });
}

void traffic_thread::begin_drain()
{
    asio::post(
        m_context,
        [this]
        {
            m_caller_server->begin_drain();
            m_peer_server->begin_drain();
        });
}

void traffic_thread::stop_accepting()
{
    asio::post(
        m_context,
        [this]
        {
            m_caller_server->stop_accepting();
            m_peer_server->stop_accepting();
        });
}

void traffic_thread::close_idle()
{
    asio::post(
        m_context,
        [this]
        {
            m_caller_server->close_idle();
            m_peer_server->close_idle();
        });
}

awaitable<std::size_t> traffic_thread::busy_connections()
{
    auto const count = [this]() -> awaitable<std::size_t>
    {
        co_return m_caller_server->busy_connections() +
            m_peer_server->busy_connections();
    };
    co_return co_await asio::co_spawn(m_context, count(), asio::use_awaitable);
}

awaitable<Json::Value> traffic_thread::state()
{
    auto const collect = [this]() -> awaitable<Json::Value>
    {
        Json::Value value{Json::objectValue};
        value["caller_connections"] =
            Json::UInt64{m_caller_server->open_connections()};
        value["peer_connections"] =
            Json::UInt64{m_peer_server->open_connections()};
        value["peers"] =
            m_ingress.peers().to_json(std::chrono::steady_clock::now());
        co_return value;
    };
    co_return co_await asio::co_spawn(
        m_context, collect(), asio::use_awaitable);
}

void traffic_thread::stop()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

awaitable<http_response> traffic_thread::serve_peer(
    http_request& request, std::shared_ptr<cancel_scope> const& scope)
{
    auto const stage = headers::value_of(request, headers::stage);
    if (stage == headers::stage_run)
    {
        co_return co_await m_ingress.serve_run(request, scope);
    }
    if (stage == headers::stage_owner)
    {
        co_return co_await m_ingress.serve_as_owner(request);
    }
    if (is_rpc(request))
    {
        m_counts.add(counter::peer_bytes_received, request.body().size());
        auto body = co_await m_rpc(std::move(request.body()));
        m_counts.add(counter::peer_bytes_sent, body.size());
        http_response response{status::ok, request.version()};
        response.set(field::content_type, "application/json");
        response.body() = std::move(body);
        co_return response;
    }
    co_return co_await m_ingress.serve(request, call_origin::service, scope);
}

} // namespace hibiscustide::net
