/// \file
/// One message of each kind that nodes send.
#ifndef HIBISCUSTIDE_FUZZ_MESSAGE_SAMPLES_HPP
#define HIBISCUSTIDE_FUZZ_MESSAGE_SAMPLES_HPP

#include <string>
#include <vector>

#include "fuzz_target.hpp"
#include "net/mesh/messages.hpp"

namespace hibiscustide::fuzz
{

[[nodiscard]] inline std::vector<net::mesh::message> sample_messages()
{
    namespace mesh = net::mesh;
    mesh::run_request request{
        .m_id = 1ULL << 40U,
        .m_attempt = "a1",
        .m_service = "lookup",
        .m_caller = "orders",
        .m_method = "POST",
        .m_path = "/x?y",
        .m_fields = {{.m_name = "Accept", .m_value = "*/*"}},
        .m_body = std::string("\0\xff", 2),
        .m_deadline_left_ms = 900,
        .m_objective_left_ms = -5,
        .m_idempotent = true};
    mesh::run_result result{
        .m_id = 3,
        .m_outcome = mesh::outcome::answered,
        .m_reached_target = true,
        .m_status = 200,
        .m_fields = {{.m_name = "Server", .m_value = "s"}},
        .m_body = "answer"};
    core::directory::item_changes changes{
        .m_after = 2,
        .m_revision = 9,
        .m_items = {
            {.m_key = "k", .m_value = "v", .m_revision = 8},
            {.m_key = "l", .m_revision = 9, .m_removed = true}}};
    // Long enough that it is sent in compressed form.
    core::directory::item_changes long_changes{
        .m_revision = 9,
        .m_complete = true,
        .m_items = {
            {.m_key = "k",
             .m_value = std::string(2'000, 'v'),
             .m_revision = 9}}};
    mesh::hello hello{
        .m_node = "10.0.0.1", .m_incarnation = 8, .m_connection = 3};
    mesh::resume_requests resume{.m_ids = {1, 2, 300}};
    mesh::body_piece piece{
        .m_id = 5,
        .m_bytes = std::string("\0\x80", 2),
        .m_end = mesh::body_end::complete};
    return {
        hello,
        request,
        result,
        mesh::cancel_request{.m_id = 4},
        resume,
        mesh::ping{.m_is_answer = true},
        mesh::changes_request{.m_after = 7},
        changes,
        long_changes,
        mesh::body_grant{.m_id = 5, .m_limit = 70'000},
        piece};
}

} // namespace hibiscustide::fuzz

#endif
