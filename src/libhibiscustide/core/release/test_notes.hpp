/// \file
/// Release notes used by several tests.
#ifndef HIBISCUSTIDE_CORE_RELEASE_TEST_NOTES_HPP
#define HIBISCUSTIDE_CORE_RELEASE_TEST_NOTES_HPP

#include <string>
#include <vector>

#include <hibiscustide/core/release/digest.hpp>
#include <hibiscustide/core/release/note.hpp>
#include <hibiscustide/core/release/note_codec.hpp>

namespace hibiscustide::core::release::tests
{

/// Returns a note that adds the service "lookup", the failure domains a, b and
/// c of one region, and one target in each domain.
inline release_note initial_note()
{
    release_note note{.m_revision = 1};
    note.m_services.m_added = {
        {.m_name = "lookup",
         .m_slots = 20,
         .m_cold_slots = 4,
         .m_connections = 200,
         .m_probe_cost = std::chrono::microseconds{1'000},
         .m_retry_share = 0.1,
         .m_timeout = std::chrono::milliseconds{2'000},
         .m_resend_horizon = std::chrono::seconds{60},
         .m_routes = {
             {.m_prefix = "/", .m_class = request_class::live},
             {.m_prefix = "/orders/", .m_class = request_class::order},
             {.m_prefix = "/orders/old/", .m_class = request_class::status}}}};
    for (std::string const domain : {"a", "b", "c"})
    {
        auto const number = std::to_string(note.m_targets.m_added.size() + 1);
        note.m_failure_domains.m_added.push_back(
            {.m_name = domain, .m_region = "r"});
        note.m_targets.m_added.push_back(
            {.m_name = "lookup-" + number,
             .m_service = "lookup",
             .m_failure_domain = domain,
             .m_node = "10.0.0." + number + ":7400"});
    }
    return note;
}

/// Returns a note that withdraws a failure domain.
inline release_note withdraw_domain(std::string const& domain)
{
    release_note note{.m_revision = 2};
    note.m_failure_domains.m_withdrawn = {domain};
    return note;
}

/// Returns a note that returns a withdrawn failure domain to service.
inline release_note restore_domain(std::string const& domain)
{
    release_note note{.m_revision = 3};
    note.m_failure_domains.m_added = {{.m_name = domain, .m_region = "r"}};
    return note;
}

/// Sets the revision and the predecessor of each note and returns the texts as
/// operators publish them.
inline std::vector<std::string> to_texts(std::vector<release_note> notes)
{
    std::vector<std::string> texts;
    std::string digest;
    std::uint64_t revision = 0;
    for (auto& note : notes)
    {
        note.m_revision = ++revision;
        note.m_predecessor = digest;
        texts.push_back(write_note(note));
        digest = digest_of(texts.back());
    }
    return texts;
}

} // namespace hibiscustide::core::release::tests

#endif
