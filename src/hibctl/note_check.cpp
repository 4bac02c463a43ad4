#include "note_check.hpp"

#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include <fmt/format.h>

#include <hibiscustide/core/release/note_codec.hpp>
#include <hibiscustide/core/release/note_log.hpp>

namespace hibiscustide::ctl
{

namespace
{

using core::release::fleet;

std::optional<std::string> read_file(std::string const& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in)
    {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

core::field_errors single_error(
    std::string const& file, char const* field, std::string const& reason)
{
    return {{.m_source = file, .m_field = field, .m_reason = reason}};
}

// Returns the errors of a decision; none if the note is accepted.
struct error_visitor
{
    std::string const& m_file;

    core::field_errors operator()(core::release::note_accepted const&) const
    {
        return {};
    }
    core::field_errors operator()(
        core::release::note_already_applied const&) const
    {
        return single_error(
            m_file, "revision", "is not newer than the note before it");
    }
    core::field_errors operator()(core::release::note_gap const& gap) const
    {
        return single_error(
            m_file, "revision",
            fmt::format("note {} is missing before it", gap.m_first_missing));
    }
    core::field_errors operator()(
        core::release::note_conflict const& conflict) const
    {
        if (conflict.m_same_revision)
        {
            return single_error(
                m_file, "revision",
                fmt::format(
                    "{} is already in use by a note with the digest {}",
                    conflict.m_revision, conflict.m_digest_in_force));
        }
        return single_error(
            m_file, "predecessor",
            fmt::format(
                "is {}, but the note before it has the digest {}",
                conflict.m_digest_offered, conflict.m_digest_in_force));
    }
    core::field_errors operator()(
        core::release::note_rejected const& rejected) const
    {
        return rejected.m_errors;
    }
};

Json::Value targets_in_service(fleet const& before, fleet const& after)
{
    Json::Value services{Json::objectValue};
    for (auto const& service : before.services())
    {
        services[service.m_name]["before"] =
            Json::UInt64{before.targets_in_service(service.m_name).size()};
        services[service.m_name]["after"] = 0;
    }
    for (auto const& service : after.services())
    {
        auto& entry = services[service.m_name];
        if (!entry.isMember("before"))
        {
            entry["before"] = 0;
        }
        entry["after"] =
            Json::UInt64{after.targets_in_service(service.m_name).size()};
    }
    return services;
}

template <typename Spec>
Json::Value count_changes(core::release::changes<Spec> const& changes)
{
    Json::Value value{Json::objectValue};
    value["added"] = Json::UInt64{changes.m_added.size()};
    value["changed"] = Json::UInt64{changes.m_changed.size()};
    value["withdrawn"] = Json::UInt64{changes.m_withdrawn.size()};
    return value;
}

Json::Value describe(
    std::string const& file, core::release::release_note const& note,
    fleet const& before, fleet const& after)
{
    Json::Value value{Json::objectValue};
    value["file"] = file;
    value["revision"] = Json::UInt64{note.m_revision};
    value["digest"] = after.digest();
    value["checkpoint"] = note.m_checkpoint;
    value["changes"]["services"] = count_changes(note.m_services);
    value["changes"]["targets"] = count_changes(note.m_targets);
    value["changes"]["failure_domains"] = count_changes(note.m_failure_domains);
    value["targets_in_service"] = targets_in_service(before, after);
    return value;
}

} // namespace

core::value_or_errors<Json::Value> check_notes(
    std::vector<std::string> const& files)
{
    core::release::note_log log;
    Json::Value report{Json::objectValue};
    auto& notes = report["notes"] = Json::Value{Json::arrayValue};
    for (auto const& file : files)
    {
        auto const text = read_file(file);
        if (!text)
        {
            return single_error(file, "(file)", "cannot be read");
        }
        auto const before = log.in_force();
        auto const decision = log.offer(*text, file);
        auto errors = std::visit(error_visitor{.m_file = file}, decision);
        if (!errors.empty())
        {
            return errors;
        }
        auto const note = core::release::parse_note(*text, file);
        notes.append(describe(
            file, std::get<core::release::release_note>(note), *before,
            *log.in_force()));
    }
    return report;
}

std::string to_text(Json::Value const& report)
{
    std::string text;
    for (auto const& note : report["notes"])
    {
        text += fmt::format(
            "{}: revision {}{}, digest {}\n", note["file"].asString(),
            note["revision"].asUInt64(),
            note["checkpoint"].asBool() ? " (checkpoint)" : "",
            note["digest"].asString());
        auto const& changes = note["changes"];
        for (auto const& kind : changes.getMemberNames())
        {
            text += fmt::format(
                "  {}: {} added, {} changed, {} withdrawn\n", kind,
                changes[kind]["added"].asUInt64(),
                changes[kind]["changed"].asUInt64(),
                changes[kind]["withdrawn"].asUInt64());
        }
        auto const& services = note["targets_in_service"];
        for (auto const& name : services.getMemberNames())
        {
            auto const before = services[name]["before"].asUInt64();
            auto const after = services[name]["after"].asUInt64();
            text += fmt::format(
                "  service {}: {} targets in service, {} before{}\n", name,
                after, before, after == 0 ? " (no targets left)" : "");
        }
    }
    return text;
}

} // namespace hibiscustide::ctl
