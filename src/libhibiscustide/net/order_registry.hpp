/// \file
/// The records by which a node is home to orders. Shared by its threads.
#ifndef HIBISCUSTIDE_NET_ORDER_REGISTRY_HPP
#define HIBISCUSTIDE_NET_ORDER_REGISTRY_HPP

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/orders/home.hpp>
#include <hibiscustide/core/orders/key_age.hpp>
#include <hibiscustide/core/orders/order_records.hpp>
#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// What a home must do before it may begin an order.
struct order_preparation
{
    bool m_is_home = false;
    bool m_known = false; ///< There is a record of the key.
    core::orders::key_age m_age = core::orders::key_age::too_old;
    std::vector<core::orders::home_node> m_previous_homes; ///< To be asked.
};

/// Thread-safe order records with the history of homes.
class order_registry
{
public:
    /// `name` is that of the target beside the node.
    explicit order_registry(std::string name);

    /// Another note is in force.
    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);

    [[nodiscard]] order_preparation prepare(
        std::string const& service, std::string const& key,
        core::duration horizon);

    [[nodiscard]] core::orders::begin_decision begin(
        core::orders::order_request const& request);
    void finish(std::string const& key, core::orders::stored_answer answer);
    void release(std::string const& key);
    void lose(std::string const& key);

    [[nodiscard]] core::orders::look_up_result look_up(
        std::string const& key, std::string const& attempt,
        core::duration horizon);
    [[nodiscard]] core::orders::look_up_result hand_over(
        std::string const& key, core::duration horizon);

    [[nodiscard]] Json::Value to_json() const;

private:
    [[nodiscard]] core::orders::key_age age_of(
        std::string const& key, core::duration horizon) const;
    [[nodiscard]] bool is_beyond_records(
        std::string const& key, core::duration horizon) const;

    std::string m_name;
    mutable std::mutex m_mutex;
    core::orders::order_records m_records;
    core::orders::records_start m_start;
    std::string m_service;
    std::shared_ptr<core::release::fleet const> m_fleet;
    std::optional<core::orders::home_history> m_history;
};

} // namespace hibiscustide::net

#endif
