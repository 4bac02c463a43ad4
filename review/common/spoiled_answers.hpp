/// \file
/// Plays a deployment whose back ends spoil a small part of their answers, and
/// counts how often the node processes end by themselves.
#ifndef HIBISCUSTIDE_REVIEW_SPOILED_ANSWERS_HPP
#define HIBISCUSTIDE_REVIEW_SPOILED_ANSWERS_HPP

#include <cstddef>
#include <functional>
#include <string>

#include "traffic.hpp"

namespace review
{

struct spoil_options
{
    /// Sends a spoiled answer. The connection is closed afterwards.
    std::function<void(int, message const&, std::string const&)> m_send;
    /// One of so many answers of these back ends is spoiled.
    int m_answers_per_spoiled_one = 50;
    /// Number of periods of five seconds in which answers are spoiled.
    int m_periods = 6;
    std::string m_route_type = "safe";
    int m_timeout_ms = 1'200;
    int m_objective_ms = 600;
    milliseconds m_deadline{2'500};
};

/// Runs the deployment and returns the exit code of the script.
[[nodiscard]] int play_spoiled_answers(
    std::string const& folder, std::string const& work_folder,
    spoil_options const& options);

} // namespace review

#endif
