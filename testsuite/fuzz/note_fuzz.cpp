// Release notes.
#include <variant>

#include <hibiscustide/core/release/note_codec.hpp>

#include "core/release/test_notes.hpp"
#include "fuzz_target.hpp"

namespace hibiscustide::fuzz
{

namespace release = core::release;

std::vector<std::string> make_seeds()
{
    auto seeds = release::tests::to_texts(
        {release::tests::initial_note(), release::tests::withdraw_domain("a"),
         release::tests::restore_domain("a")});
    auto checkpoint = release::tests::initial_note();
    checkpoint.m_checkpoint = true;
    checkpoint.m_digest = std::string(32, 'a');
    seeds.push_back(release::write_note(checkpoint));
    return seeds;
}

void run_input(std::string_view bytes)
{
    auto const parsed = release::parse_note(bytes, "note");
    auto const* const note = std::get_if<release::release_note>(&parsed);
    if (note == nullptr)
    {
        auto const& errors = std::get<core::field_errors>(parsed);
        require(!errors.empty(), "a rejected note has an error");
        static_cast<void>(core::to_string(errors));
        return;
    }
    auto again = release::parse_note(release::write_note(*note), "note");
    auto* const copy = std::get_if<release::release_note>(&again);
    require(copy != nullptr, "a written note is valid");
    // The digest is that of the text, which may have other white space.
    copy->m_digest = note->m_digest;
    require(*copy == *note, "a written note has the same values");
}

} // namespace hibiscustide::fuzz
