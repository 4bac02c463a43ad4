/// \file
/// A child process with its output in a log file.
#ifndef HIBISCUSTIDE_HIBLOAD_CHILD_PROCESS_HPP
#define HIBISCUSTIDE_HIBLOAD_CHILD_PROCESS_HPP

#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace hibiscustide::load
{

/// A process that this process has started. The destructor kills it.
class child_process
{
public:
    /// Starts the program with the arguments and appends its output to the file
    /// `log`. Throws std::system_error if the program can't be started.
    child_process(
        std::filesystem::path const& program,
        std::vector<std::string> const& arguments,
        std::filesystem::path const& log);
    ~child_process();

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Sends a signal; does nothing if the process has ended.
    void signal(int number);

    /// The process id; -1 after the process has ended.
    [[nodiscard]] pid_t id() const noexcept;

    /// Whether the process still runs.
    [[nodiscard]] bool is_running();

private:
    pid_t m_id = -1;
};

} // namespace hibiscustide::load

#endif
