#include <hibiscustide/core/release/note_log.hpp>

#include <utility>

#include <hibiscustide/core/release/note_codec.hpp>

namespace hibiscustide::core::release
{

note_log::note_log()
    : m_in_force{std::make_shared<fleet const>()}
{
}

note_decision note_log::offer(std::string text, std::string const& source)
{
    auto parsed = parse_note(text, source);
    if (auto* const errors = std::get_if<field_errors>(&parsed))
    {
        return note_rejected{.m_errors = std::move(*errors)};
    }
    auto const& note = std::get<release_note>(parsed);
    if (auto decision = check_chain(note))
    {
        return std::move(*decision);
    }
    auto next = apply(*m_in_force, note, source);
    if (auto* const errors = std::get_if<field_errors>(&next))
    {
        return note_rejected{.m_errors = std::move(*errors)};
    }
    m_in_force =
        std::make_shared<fleet const>(std::move(std::get<fleet>(next)));
    retain(note, std::move(text));
    return note_accepted{.m_fleet = m_in_force};
}

std::shared_ptr<fleet const> const& note_log::in_force() const noexcept
{
    return m_in_force;
}

std::vector<std::string> note_log::notes_after(std::uint64_t revision) const
{
    std::vector<std::string> texts;
    if (revision >= m_in_force->revision())
    {
        return texts;
    }
    if (m_retained.empty() || m_retained.front().m_revision > revision + 1)
    {
        texts.push_back(write_note(checkpoint_of(*m_in_force)));
        return texts;
    }
    for (auto const& note : m_retained)
    {
        if (note.m_revision > revision)
        {
            texts.push_back(note.m_text);
        }
    }
    return texts;
}

// Checks the revision, digest and predecessor of a note against the notes
// already applied. Returns std::nullopt if the note can be applied next.
std::optional<note_decision> note_log::check_chain(
    release_note const& note) const
{
    auto const in_force = m_in_force->revision();
    if (note.m_revision <= in_force)
    {
        auto const conflict = [&](std::string const& digest) -> note_decision
        {
            return note_conflict{
                .m_same_revision = true,
                .m_revision = note.m_revision,
                .m_digest_in_force = digest,
                .m_digest_offered = note.m_digest};
        };
        if (note.m_revision == in_force &&
            note.m_digest != m_in_force->digest())
        {
            return conflict(m_in_force->digest());
        }
        for (auto const& retained : m_retained)
        {
            if (retained.m_revision == note.m_revision &&
                retained.m_digest != note.m_digest)
            {
                return conflict(retained.m_digest);
            }
        }
        return note_already_applied{};
    }
    if (note.m_checkpoint)
    {
        return std::nullopt;
    }
    if (note.m_revision > in_force + 1)
    {
        return note_gap{.m_first_missing = in_force + 1};
    }
    if (note.m_predecessor != m_in_force->digest())
    {
        return note_conflict{
            .m_revision = in_force,
            .m_digest_in_force = m_in_force->digest(),
            .m_digest_offered = note.m_predecessor};
    }
    return std::nullopt;
}

void note_log::retain(release_note const& note, std::string text)
{
    if (note.m_checkpoint)
    {
        // The sequence of retained notes must not have gaps, and a checkpoint
        // may skip revisions.
        m_retained.clear();
        return;
    }
    m_retained.push_back(
        {.m_revision = note.m_revision,
         .m_digest = note.m_digest,
         .m_text = std::move(text)});
    if (m_retained.size() > max_retained_notes)
    {
        m_retained.pop_front();
    }
}

} // namespace hibiscustide::core::release
