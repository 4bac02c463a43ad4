#include "child_process.hpp"

#include <csignal>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hibiscustide::load
{

namespace
{

constexpr mode_t log_mode = 0644;

class file_actions
{
public:
    file_actions()
    {
        posix_spawn_file_actions_init(&m_actions);
    }

    file_actions(file_actions const&) = delete;
    file_actions& operator=(file_actions const&) = delete;

    ~file_actions()
    {
        posix_spawn_file_actions_destroy(&m_actions);
    }

    void send_output_to(std::string const& file)
    {
        posix_spawn_file_actions_addopen(
            &m_actions, STDOUT_FILENO, file.c_str(),
            O_WRONLY | O_CREAT | O_APPEND, log_mode);
        posix_spawn_file_actions_adddup2(
            &m_actions, STDOUT_FILENO, STDERR_FILENO);
        // A listener that a child process inherits would stay open after this
        // process closes it.
        posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1);
    }

    [[nodiscard]] posix_spawn_file_actions_t const* get() const
    {
        return &m_actions;
    }

private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

child_process::child_process(
    std::filesystem::path const& program,
    std::vector<std::string> const& arguments, std::filesystem::path const& log)
{
    std::vector<std::string> argv{program.string()};
    argv.insert(argv.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(argv.size() + 1);
    for (auto& argument : argv)
    {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    file_actions actions;
    actions.send_output_to(log.string());
    int const error = posix_spawn(
        &m_id, argv.front().c_str(), actions.get(), nullptr, pointers.data(),
        environ);
    if (error != 0)
    {
        throw std::system_error{error, std::generic_category(), argv.front()};
    }
}

child_process::~child_process()
{
    if (is_running())
    {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
    }
}

void child_process::signal(int number)
{
    if (is_running())
    {
        ::kill(m_id, number);
    }
}

pid_t child_process::id() const noexcept
{
    return m_id;
}

bool child_process::is_running()
{
    if (m_id < 0)
    {
        return false;
    }
    if (::waitpid(m_id, nullptr, WNOHANG) == 0)
    {
        return true;
    }
    m_id = -1;
    return false;
}

} // namespace hibiscustide::load
