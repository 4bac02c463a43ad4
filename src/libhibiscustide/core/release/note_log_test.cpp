#include <hibiscustide/core/release/note_log.hpp>

#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "core/release/test_notes.hpp"

namespace release = hibiscustide::core::release;
namespace tests = hibiscustide::core::release::tests;

namespace
{

std::vector<release::release_note> alternate(std::size_t count)
{
    std::vector<release::release_note> notes{tests::initial_note()};
    while (notes.size() < count)
    {
        bool const away = notes.size() % 2 == 1;
        notes.push_back(
            away ? tests::withdraw_domain("b") : tests::restore_domain("b"));
    }
    return notes;
}

} // namespace

TEST_CASE("notes come into force in order and never revert")
{
    auto const texts = tests::to_texts(alternate(6));
    release::note_log log;
    std::mt19937_64 random{7};
    std::uint64_t last = 0;
    std::uniform_int_distribution<std::size_t> any{0, texts.size() - 1};
    // Old and new notes arrive in any order, again and again.
    for (int n = 0; n < 400; ++n)
    {
        auto const before = log.in_force()->revision();
        auto const picked = any(random);
        auto const decision = log.offer(texts[picked], "peer");
        auto const after = log.in_force()->revision();
        CHECK(after >= before);
        CHECK(after >= last);
        bool const accepted =
            std::holds_alternative<release::note_accepted>(decision);
        CHECK(accepted == (picked == before));
        last = after;
    }
    CHECK(last == texts.size());
}

TEST_CASE("a gap is told with the first note that is missing")
{
    auto const texts = tests::to_texts(alternate(4));
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    auto const decision = log.offer(texts[3], "peer");
    REQUIRE(std::holds_alternative<release::note_gap>(decision));
    CHECK(std::get<release::note_gap>(decision).m_first_missing == 2);
    CHECK(log.in_force()->revision() == 1);
}

TEST_CASE("another note at the same revision is a conflict")
{
    auto const texts = tests::to_texts(alternate(3));
    auto other = alternate(2);
    other[1] = tests::withdraw_domain("c");
    auto const other_texts = tests::to_texts(other);
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    static_cast<void>(log.offer(texts[1], "peer"));
    auto const decision = log.offer(other_texts[1], "peer");
    REQUIRE(std::holds_alternative<release::note_conflict>(decision));
    CHECK(std::get<release::note_conflict>(decision).m_same_revision);
    // Also when a newer one is in force by then.
    static_cast<void>(log.offer(texts[2], "peer"));
    CHECK(std::holds_alternative<release::note_conflict>(
        log.offer(other_texts[1], "peer")));
    CHECK(log.in_force()->revision() == 3);
}

TEST_CASE("a note with another predecessor is a conflict")
{
    auto const texts = tests::to_texts(alternate(2));
    auto other = alternate(2);
    other[0].m_published = std::chrono::milliseconds{5};
    auto const other_texts = tests::to_texts(other);
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    auto const decision = log.offer(other_texts[1], "peer");
    REQUIRE(std::holds_alternative<release::note_conflict>(decision));
    CHECK_FALSE(std::get<release::note_conflict>(decision).m_same_revision);
    CHECK(log.in_force()->revision() == 1);
}

TEST_CASE("a bad note in the middle changes nothing")
{
    auto notes = alternate(2);
    notes[1] = tests::withdraw_domain("unknown");
    auto const texts = tests::to_texts(notes);
    release::note_log log;
    static_cast<void>(log.offer(texts[0], "peer"));
    auto const before = log.in_force();
    CHECK(std::holds_alternative<release::note_rejected>(
        log.offer(texts[1], "peer")));
    CHECK(log.in_force() == before);
}

TEST_CASE("a peer that lags gets the notes, or a checkpoint if they are gone")
{
    auto const count = release::note_log::max_retained_notes + 6;
    auto const texts = tests::to_texts(alternate(count));
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
