/// \file
/// Decides which release notes come into force, in which order.
#ifndef HIBISCUSTIDE_CORE_RELEASE_NOTE_LOG_HPP
#define HIBISCUSTIDE_CORE_RELEASE_NOTE_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <hibiscustide/core/error.hpp>
#include <hibiscustide/core/release/fleet.hpp>

namespace hibiscustide::core::release
{

/// The note is in force.
struct note_accepted
{
    std::shared_ptr<fleet const> m_fleet;
};

/// The note is in force already, or a newer one is.
struct note_already_applied
{
};

/// Notes before this one are missing.
struct note_gap
{
    std::uint64_t m_first_missing = 0;
};

/// The note does not follow the one in force: another note stands at its
/// revision, or its predecessor is another note.
struct note_conflict
{
    bool m_same_revision = false; ///< Otherwise the predecessor differs.
    std::uint64_t m_revision = 0;
    std::string m_digest_in_force;
    std::string m_digest_offered;
};

/// The note is wrong in itself or can't be applied.
struct note_rejected
{
    field_errors m_errors;
};

using note_decision = std::variant<
    note_accepted, note_already_applied, note_gap, note_conflict,
    note_rejected>;

/// Holds the fleet in force and the newest notes. A revision in force is never
/// replaced by an older one, whatever is offered and in whatever order.
class note_log
{
public:
    /// How many notes are retained for peers that lag; others get a checkpoint.
    static constexpr std::size_t max_retained_notes = 64;

    note_log();

    /// Considers a note's text. `source` names where it came from in errors.
    [[nodiscard]] note_decision offer(
        std::string text, std::string const& source);

    /// The fleet in force; never null.
    [[nodiscard]] std::shared_ptr<fleet const> const& in_force() const noexcept;

    /// The texts that bring a holder of `revision` up to date, oldest first:
    /// the notes after it, or one checkpoint where some are no longer retained.
    [[nodiscard]] std::vector<std::string> notes_after(
        std::uint64_t revision) const;

private:
    struct retained_note
    {
        std::uint64_t m_revision = 0;
        std::string m_digest;
        std::string m_text;
    };

    [[nodiscard]] std::optional<note_decision> check_chain(
        release_note const& note) const;
    void retain(release_note const& note, std::string text);

    std::shared_ptr<fleet const> m_in_force;
    std::deque<retained_note> m_retained;
};

} // namespace hibiscustide::core::release

#endif
