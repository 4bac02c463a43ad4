/// \file
/// A deployment of the review's scripts with steady traffic from clients.
#ifndef HIBISCUSTIDE_REVIEW_TRAFFIC_HPP
#define HIBISCUSTIDE_REVIEW_TRAFFIC_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "harness.hpp"

namespace review
{

/// Sends requests to one node at a steady rate, each on a new connection, and
/// records what was answered.
class client_group
{
public:
    /// Returns the request to send next, given its number.
    using request_maker = std::function<request(int)>;

    /// Called with each answer. Must be thread-safe.
    using answer_check = std::function<void(request const&, answer const&)>;

    client_group(
        endpoint node, milliseconds interval, request_maker make,
        recorder& record, answer_check check = {});
    ~client_group();

    client_group(client_group const&) = delete;
    client_group& operator=(client_group const&) = delete;

    void start();

    /// Sends no further requests and waits for the answers of those sent.
    void stop();

    [[nodiscard]] int sent() const;
    [[nodiscard]] int succeeded() const;

private:
    void send_loop();
    void send(request const& sent);

    endpoint m_node;
    milliseconds m_interval;
    request_maker m_make;
    recorder& m_record;
    answer_check m_check;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_succeeded{0};
    std::atomic<int> m_waiting{0}; ///< Requests without an answer.
    std::thread m_loop;
};

/// Ends node processes that use more memory than their machine has, and starts
/// ended ones again after a short delay, as the platform does.
class supervisor
{
public:
    supervisor(std::vector<node*> nodes, std::size_t memory_bytes);
    ~supervisor();

    supervisor(supervisor const&) = delete;
    supervisor& operator=(supervisor const&) = delete;

    void start();
    void stop();

    /// How often the process of node `n` has ended by itself. Exceeding the
    /// memory counts, an end after SIGTERM does not, nor one within a second of
    /// the start that follows.
    [[nodiscard]] int own_ends(std::size_t n) const;

    /// Greatest resident memory of the process of node `n`, in bytes.
    [[nodiscard]] std::size_t peak_bytes(std::size_t n) const;

private:
    struct watched
    {
        node* m_node = nullptr;
        std::atomic<int> m_own_ends{0};
        std::atomic<std::size_t> m_peak{0};
        steady::time_point m_restart_at{};
        /// Until then an end belongs to a planned stop.
        steady::time_point m_excused_until{};
        bool m_is_down = false;
    };

    void watch_loop();
    void check(watched& each) const;

    std::vector<std::unique_ptr<watched>> m_watched;
    std::size_t m_memory_bytes;
    std::atomic<bool> m_stopping{false};
    std::thread m_loop;
};

} // namespace review

#endif
