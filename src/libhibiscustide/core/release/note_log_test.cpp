#include <hibiscustide/core/release/note_log.hpp>

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "core/release/test_notes.hpp"

namespace release = hibiscustide::core::release;
namespace tests = hibiscustide::core::release::tests;

namespace
{

// An initial note, then alternately a withdrawal and a restoration of failure
// domain b.
std::vector<release::release_note> alternating_notes(std::size_t count)
{
    std::vector<release::release_note> notes{tests::initial_note()};
    while (notes.size() < count)
    {
        bool const withdraws = notes.size() % 2 == 1;
        notes.push_back(
            withdraws ? tests::withdraw_domain("b")
                      : tests::restore_domain("b"));
    }
    return notes;
}

} // namespace

TEST_CASE("notes come into force in order and the revision never decreases")
{
    auto const texts = tests::to_texts(alternating_notes(6));
    release::note_log log;
    std::mt19937_64 random{7};
    std::uint64_t last = 0;
    std::uniform_int_distribution<std::size_t> pick{0, texts.size() - 1};
    // Offers old and new notes repeatedly, in random order.
    for (int n = 0; n < 400; ++n)
    {
        auto const before = log.in_force()->revision();
        auto const index = pick(random);
        auto const decision = log.offer(texts[index], "peer");
        auto const after = log.in_force()->revision();
        CHECK(after >= before);
        CHECK(after >= last);
        bool const accepted =
            std::holds_alternative<release::note_accepted>(decision);
        CHECK(accepted == (index == before));
        last = after;
    }
    CHECK(last == texts.size());
}

TEST_CASE("a gap is reported with the first missing revision")
{
    auto const texts = tests::to_texts(alternating_notes(4));
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    auto const decision = log.offer(texts[3], "peer");
    REQUIRE(std::holds_alternative<release::note_gap>(decision));
    CHECK(std::get<release::note_gap>(decision).m_first_missing == 2);
    CHECK(log.in_force()->revision() == 1);
}

TEST_CASE("a different note with the same revision is a conflict")
{
    auto const texts = tests::to_texts(alternating_notes(3));
    auto other = alternating_notes(2);
    other[1] = tests::withdraw_domain("c");
    auto const other_texts = tests::to_texts(other);
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    static_cast<void>(log.offer(texts[1], "peer"));
    auto const decision = log.offer(other_texts[1], "peer");
    REQUIRE(std::holds_alternative<release::note_conflict>(decision));
    CHECK(std::get<release::note_conflict>(decision).m_same_revision);
    // The conflict is also detected after a newer note has come into force.
    static_cast<void>(log.offer(texts[2], "peer"));
    CHECK(std::holds_alternative<release::note_conflict>(
        log.offer(other_texts[1], "peer")));
    CHECK(log.in_force()->revision() == 3);
}

TEST_CASE("a note with a different predecessor is a conflict")
{
    auto const texts = tests::to_texts(alternating_notes(2));
    auto other = alternating_notes(2);
    other[0].m_published = std::chrono::milliseconds{5};
    auto const other_texts = tests::to_texts(other);
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    auto const decision = log.offer(other_texts[1], "peer");
    REQUIRE(std::holds_alternative<release::note_conflict>(decision));
    CHECK_FALSE(std::get<release::note_conflict>(decision).m_same_revision);
    CHECK(log.in_force()->revision() == 1);
}

TEST_CASE("a rejected note leaves the fleet in force unchanged")
{
    auto notes = alternating_notes(2);
    notes[1] = tests::withdraw_domain("unknown");
    auto const texts = tests::to_texts(notes);
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    auto const before = log.in_force();
    CHECK(std::holds_alternative<release::note_rejected>(
        log.offer(texts[1], "peer")));
    CHECK(log.in_force() == before);
}

TEST_CASE("a peer that lags behind gets the retained notes or a checkpoint")
{
    auto const count = release::note_log::max_retained_notes + 6;
    auto const texts = tests::to_texts(alternating_notes(count));
    release::note_log log;
    for (auto const& text : texts)
    {
        static_cast<void>(log.offer(text, "peer"));
    }
    CHECK(log.notes_after(count).empty());
    CHECK(log.notes_after(count - 2).size() == 2);
    CHECK(log.notes_after(1).size() == 1);
    for (std::uint64_t const held : {std::uint64_t{0}, count - 2})
    {
        release::note_log peer;
        for (std::size_t n = 0; n < held; ++n)
        {
            static_cast<void>(peer.offer(texts[n], "peer"));
        }
        for (auto const& text : log.notes_after(held))
        {
            static_cast<void>(peer.offer(text, "peer"));
        }
        CHECK(*peer.in_force() == *log.in_force());
    }
}
