/// \file
/// The state that the control thread publishes to the traffic threads.
#ifndef HIBISCUSTIDE_NET_NODE_VIEW_HPP
#define HIBISCUSTIDE_NET_NODE_VIEW_HPP

#include <memory>

#include <hibiscustide/core/release/fleet.hpp>

namespace hibiscustide::net
{

/// An immutable snapshot. Each traffic thread keeps the newest snapshot that it
/// has received, so that calls do not wait for the control thread.
struct node_view
{
    std::shared_ptr<core::release::fleet const> m_fleet;
};

} // namespace hibiscustide::net

#endif
