#include "work_folder.hpp"

#include <string>
#include <system_error>

#include <unistd.h>

namespace hibiscustide::load
{

work_folder::work_folder(bool keep)
    : m_path{std::filesystem::temp_directory_path() / ("hibload-" + std::to_string(::getpid()))},
      m_keep{keep}
{
    std::filesystem::remove_all(m_path);
    std::filesystem::create_directories(m_path);
}

work_folder::~work_folder()
{
    if (!m_keep)
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
}

std::filesystem::path const& work_folder::path() const noexcept
{
    return m_path;
}

// Concurrent runs share addresses only if their process ids differ by a
// multiple of `networks`.
unsigned loopback_network_for_process()
{
    constexpr unsigned first_network = 16;
    constexpr unsigned networks = 200;
    return first_network + static_cast<unsigned>(::getpid()) % networks;
}

} // namespace hibiscustide::load
