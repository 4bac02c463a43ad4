/// \file
/// Separates concurrent runs of this tool on one machine: a work folder and a
/// loopback network for each process.
#ifndef HIBISCUSTIDE_HIBLOAD_WORK_FOLDER_HPP
#define HIBISCUSTIDE_HIBLOAD_WORK_FOLDER_HPP

#include <filesystem>

namespace hibiscustide::load
{

/// A temporary folder for one run. The destructor removes it unless `keep` is
/// set.
class work_folder
{
public:
    explicit work_folder(bool keep);
    ~work_folder();

    work_folder(work_folder const&) = delete;
    work_folder& operator=(work_folder const&) = delete;

    [[nodiscard]] std::filesystem::path const& path() const noexcept;

private:
    std::filesystem::path m_path;
    bool m_keep;
};

/// Returns the second octet of the loopback addresses of this process.
[[nodiscard]] unsigned loopback_network_for_process();

} // namespace hibiscustide::load

#endif
