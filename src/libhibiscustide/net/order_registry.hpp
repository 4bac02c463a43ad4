/// \file
/// The order records of a node that owns order keys, shared by its threads.
#ifndef HIBISCUSTIDE_NET_ORDER_REGISTRY_HPP
#define HIBISCUSTIDE_NET_ORDER_REGISTRY_HPP

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include <hibiscustide/core/orders/key_age.hpp>
#include <hibiscustide/core/orders/key_owner.hpp>
#include <hibiscustide/core/orders/order_records.hpp>
#include <hibiscustide/core/release/fleet.hpp>
#include <hibiscustide/core/time.hpp>

namespace hibiscustide::net
{

/// The conditions that a node checks before it begins an order. Only the owner
/// of the order's key may begin the order. If `m_is_owner` is false, the other
/// members are not set.
struct order_preparation
{
    bool m_is_owner = false;   ///< This node is the owner of the key.
    bool m_has_record = false; ///< There is a record of the key.
    core::orders::key_age m_age = core::orders::key_age::too_old;
    /// The nodes that must rule out an earlier run if there is no record.
    std::vector<core::orders::owner_node> m_previous_owners;
};

/// Order records together with the history of the owners of keys of the node's
/// service. Thread-safe.
class order_registry
{
public:
    /// `name` is the name of the target beside the node.
    explicit order_registry(std::string name);

    /// Applies a new fleet, which may change the owners of keys.
    void change_fleet(std::shared_ptr<core::release::fleet const> fleet);

    /// Determines whether this node is the owner of the key and whether an
    /// earlier run of the order must be ruled out.
    [[nodiscard]] order_preparation prepare(
        std::string const& service, std::string const& key,
        core::duration horizon);

    // The following functions correspond to those of
    // core::orders::order_records. In addition, look_up and transfer_ownership
    // return outcome_unknown for a key without a record that may have run
    // before the records began or whose record may have expired.

    [[nodiscard]] core::orders::begin_decision begin(
        core::orders::order_request const& request);
    void finish(std::string const& key, core::orders::stored_answer answer);
    void discard(std::string const& key);
    void mark_outcome_unknown(std::string const& key);

    [[nodiscard]] core::orders::look_up_result look_up(
        std::string const& key, std::string const& attempt,
        core::duration horizon);
    [[nodiscard]] core::orders::look_up_result transfer_ownership(
        std::string const& key, core::duration horizon);

    [[nodiscard]] Json::Value to_json() const;

private:
    [[nodiscard]] core::orders::key_age age_of(
        std::string const& key, core::duration horizon) const;
    [[nodiscard]] bool may_lack_record(
        std::string const& key, core::duration horizon) const;

    std::string m_name;
    mutable std::mutex m_mutex;
    core::orders::order_records m_records;
    core::orders::records_start m_records_start;
    std::string m_service;
    std::shared_ptr<core::release::fleet const> m_fleet;
    std::optional<core::orders::owner_history> m_history;
};

} // namespace hibiscustide::net

#endif
