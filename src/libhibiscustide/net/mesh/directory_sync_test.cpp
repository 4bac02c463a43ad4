#include "net/mesh/directory_sync.hpp"

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "net/clock.hpp"

namespace core = hibiscustide::core;
namespace net = hibiscustide::net;
namespace mesh = hibiscustide::net::mesh;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t old_revision = 5;
constexpr std::uint64_t new_revision = 9;
constexpr char const* first_seed = "10.0.0.1";

core::directory::item_changes all_items(std::uint64_t revision)
{
    return {
        .m_revision = revision,
        .m_complete = true,
        .m_items = {{.m_key = "k", .m_value = "v", .m_revision = revision}}};
}

// A starting node that two or more seeds answer and whose publishing service is
// away. Seed replies are posted, as they arrive from another thread.
struct starting_node
{
    explicit starting_node(std::size_t other_seeds)
        : m_sync{
              m_context,
              {.m_address = "10.0.0.9",
               .m_on_update =
                   [this](mesh::directory_update const& update)
               {
                   m_used.push_back(update.m_revision);
                   m_first_use = m_first_use.value_or(net::clock_now());
               },
               .m_query_seeds =
                   [this]
               {
                   reply(first_seed, m_first_reply);
               },
               .m_query_other_seeds =
                   [this](std::string const& first, std::uint64_t after)
               {
                   CHECK(first == first_seed);
                   m_asked_after.push_back(after);
                   int number = 0;
                   for (auto const& each : m_other_replies)
                   {
                       reply("10.0.1." + std::to_string(++number), each);
                   }
                   for (auto const& each : m_more_first_replies)
                   {
                       reply(first_seed, each);
                   }
               },
               .m_other_seeds = other_seeds,
               .m_seed_timeout = 120ms},
              make_publisher(),
              m_counts}
    {
    }

    mesh::publisher make_publisher()
    {
        return {
            .m_read_all = [this]() -> net::awaitable<mesh::read_outcome>
            {
                co_return m_service_outcome;
            },
            .m_watch = [this](std::uint64_t, std::chrono::milliseconds)
                -> net::awaitable<mesh::read_outcome>
            {
                m_first_watch = m_first_watch.value_or(net::clock_now());
                co_return mesh::read_failed{"away"};
            },
            .m_decode =
                [](core::directory::item const&) -> core::directory::change
            {
                return core::directory::change_ignored{};
            }};
    }

    void reply(
        std::string const& address, core::directory::item_changes changes)
    {
        net::asio::post(
            m_context,
            [this, address, changes = std::move(changes)]
            {
                m_sync.on_changes(address, changes);
            });
    }

    void run(std::chrono::milliseconds span)
    {
        m_sync.start();
        m_context.run_for(span);
    }

    net::asio::io_context m_context;
    net::metrics m_counts;
    core::directory::item_changes m_first_reply = all_items(old_revision);
    /// Replies of other seeds to the comparison, and of the first seed.
    std::vector<core::directory::item_changes> m_other_replies;
    std::vector<core::directory::item_changes> m_more_first_replies;
    std::vector<std::uint64_t> m_asked_after;
    std::vector<std::uint64_t> m_used; ///< Revisions that were passed on.
    std::optional<core::time_point> m_first_use;
    /// Outcome of a read of all items from the publishing service.
    mesh::read_outcome m_service_outcome = mesh::read_failed{"away"};
    std::optional<core::time_point> m_first_watch;
    mesh::directory_sync m_sync;
};

} // namespace

// A starting node used the items of the first seed that replied. A seed that
// had been frozen or cut off sent targets that had left and routes that were
// withdrawn, and the node used them until the status of a newer node arrived.
TEST_CASE("a starting node does not use the items of a seed that is behind "
          "another seed")
{
    starting_node node{2};
    node.m_other_replies = {
        {.m_after = old_revision, .m_revision = old_revision},
        {.m_after = old_revision,
         .m_revision = new_revision,
         .m_items = {{.m_key = "k", .m_revision = 8, .m_removed = true}}}};
    node.run(200ms);
    REQUIRE_FALSE(node.m_used.empty());
    CHECK(node.m_used.front() == new_revision);
    CHECK(node.m_asked_after == std::vector<std::uint64_t>{old_revision});
}

// A second reply of the first seed ended the wait for the other one, so that
// items of a seed that was behind were used.
TEST_CASE("a second reply of the first seed does not count as the reply of "
          "another one")
{
    starting_node node{1};
    node.m_more_first_replies = {
        {.m_after = old_revision, .m_revision = old_revision}};
    net::asio::steady_timer other{node.m_context, 90ms};
    other.async_wait(
        [&node](auto const&)
        {
            node.m_sync.on_changes("10.0.1.1", all_items(new_revision));
        });
    node.run(300ms);
    REQUIRE_FALSE(node.m_used.empty());
    CHECK(node.m_used.front() == new_revision);
}

TEST_CASE("a starting node uses the items of the first seed if the others do "
          "not reply")
{
    starting_node node{3};
    auto const started_at = net::clock_now();
    node.run(400ms);
    REQUIRE(node.m_first_use.has_value());
    CHECK(node.m_used.front() == old_revision);
    CHECK(*node.m_first_use - started_at < 300ms);
}

TEST_CASE("a starting node with one seed uses its items without a wait")
{
    starting_node node{0};
    auto const started_at = net::clock_now();
    node.run(200ms);
    REQUIRE(node.m_first_use.has_value());
    CHECK(*node.m_first_use - started_at < 100ms);
}

// The node waited for a peer's status although no peer had sent the items, and
// received no change of the first seconds.
TEST_CASE("a node that has read the service itself watches it without a grace "
          "period")
{
    starting_node node{2};
    node.m_first_reply = {};
    node.m_service_outcome = all_items(old_revision);
    auto const started_at = net::clock_now();
    node.run(1'000ms);
    REQUIRE(node.m_first_watch.has_value());
    CHECK(*node.m_first_watch - started_at < 800ms);
}

TEST_CASE("a node that has the items from a peer waits for a reader before it "
          "watches the service")
{
    starting_node node{0};
    node.run(1'000ms);
    CHECK(node.m_used.front() == old_revision);
    CHECK_FALSE(node.m_first_watch.has_value());
}

// All nodes restart together while the publishing service is away: a seed that
// has started itself has nothing to send.
TEST_CASE("a starting node has no state if its seeds have none")
{
    starting_node node{2};
    node.m_first_reply = {};
    node.run(400ms);
    for (auto const revision : node.m_used)
    {
        CHECK(revision == 0);
    }
    CHECK(node.m_asked_after.empty());
}
