#include <hibiscustide/core/release/fleet.hpp>

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace hibiscustide::core::release
{

namespace
{

std::string const& name_of(service_spec const& spec)
{
    return spec.m_name;
}

std::string const& name_of(target_spec const& spec)
{
    return spec.m_name;
}

std::string const& name_of(failure_domain const& domain)
{
    return domain.m_spec.m_name;
}

template <typename Items>
auto lower_bound_by_name(Items& items, std::string_view name)
{
    auto const name_less = [](auto const& item, std::string_view wanted)
    {
        return name_of(item) < wanted;
    };
    return std::lower_bound(items.begin(), items.end(), name, name_less);
}

template <typename Items>
auto find_by_name(Items& items, std::string_view name) -> decltype(items.data())
{
    auto const it = lower_bound_by_name(items, name);
    if (it == items.end() || name_of(*it) != name)
    {
        return nullptr;
    }
    return &*it;
}

// Collects the errors of one note, each with its position in the note.
class error_collector
{
public:
    explicit error_collector(std::string source)
        : m_source{std::move(source)}
    {
    }

    void add(
        std::string const& list, std::size_t index, std::string const& message)
    {
        m_errors.push_back(
            {.m_source = m_source,
             .m_field = list + "[" + std::to_string(index) + "]",
             .m_reason = message});
    }

    [[nodiscard]] field_errors const& all() const
    {
        return m_errors;
    }

private:
    std::string m_source;
    field_errors m_errors;
};

template <typename Spec>
void apply_changes(
    std::vector<Spec>& state, changes<Spec> const& change,
    std::string const& list, error_collector& errors)
{
    for (std::size_t n = 0; n < change.m_withdrawn.size(); ++n)
    {
        auto const& name = change.m_withdrawn[n];
        if (find_by_name(state, name) == nullptr)
        {
            errors.add(list + ".withdrawn", n, "'" + name + "' does not exist");
            continue;
        }
        state.erase(lower_bound_by_name(state, name));
    }
    for (std::size_t n = 0; n < change.m_changed.size(); ++n)
    {
        auto const& spec = change.m_changed[n];
        auto* const found = find_by_name(state, name_of(spec));
        if (found == nullptr)
        {
            errors.add(
                list + ".changed", n, "'" + name_of(spec) + "' does not exist");
            continue;
        }
        *found = spec;
    }
    for (std::size_t n = 0; n < change.m_added.size(); ++n)
    {
        auto const& spec = change.m_added[n];
        if (find_by_name(state, name_of(spec)) != nullptr)
        {
            errors.add(
                list + ".added", n, "'" + name_of(spec) + "' already exists");
            continue;
        }
        state.insert(lower_bound_by_name(state, name_of(spec)), spec);
    }
}

void add_domain(
    std::vector<failure_domain>& state, failure_domain_spec const& spec,
    std::size_t index, error_collector& errors)
{
    auto* const found = find_by_name(state, spec.m_name);
    if (found == nullptr)
    {
        state.insert(
            lower_bound_by_name(state, spec.m_name),
            failure_domain{.m_spec = spec, .m_withdrawn = false});
        return;
    }
    if (!found->m_withdrawn)
    {
        errors.add(
            "failure_domains.added", index,
            "'" + spec.m_name + "' is already in service");
        return;
    }
    *found = failure_domain{.m_spec = spec, .m_withdrawn = false};
}

void apply_domain_changes(
    std::vector<failure_domain>& state,
    changes<failure_domain_spec> const& change, error_collector& errors)
{
    for (std::size_t n = 0; n < change.m_added.size(); ++n)
    {
        add_domain(state, change.m_added[n], n, errors);
    }
    for (std::size_t n = 0; n < change.m_changed.size(); ++n)
    {
        auto const& spec = change.m_changed[n];
        auto* const found = find_by_name(state, spec.m_name);
        if (found == nullptr)
        {
            errors.add(
                "failure_domains.changed", n,
                "'" + spec.m_name + "' does not exist");
            continue;
        }
        found->m_spec = spec;
    }
    for (std::size_t n = 0; n < change.m_withdrawn.size(); ++n)
    {
        auto const& name = change.m_withdrawn[n];
        auto* const found = find_by_name(state, name);
        if (found == nullptr || found->m_withdrawn)
        {
            errors.add(
                "failure_domains.withdrawn", n,
                "'" + name + "' is not in service");
            continue;
        }
        found->m_withdrawn = true;
    }
}

// Checks the references from targets to services and failure domains and that
// node addresses are unique. note_codec has already checked each field.
void check_references(fleet_contents const& state, error_collector& errors)
{
    std::set<std::string_view> nodes;
    for (std::size_t n = 0; n < state.m_targets.size(); ++n)
    {
        auto const& target = state.m_targets[n];
        auto const add_error = [&](std::string const& message)
        {
            errors.add("targets", n, "'" + target.m_name + "' " + message);
        };
        if (find_by_name(state.m_services, target.m_service) == nullptr)
        {
            add_error(
                "refers to the unknown service '" + target.m_service + "'");
        }
        if (find_by_name(state.m_failure_domains, target.m_failure_domain) ==
            nullptr)
        {
            add_error(
                "refers to the unknown failure domain '" +
                target.m_failure_domain + "'");
        }
        if (!nodes.insert(target.m_node).second)
        {
            add_error("has the same node address as another target");
        }
    }
}

} // namespace

fleet::fleet(fleet_contents contents)
    : m_revision{contents.m_revision},
      m_digest{std::move(contents.m_digest)},
      m_published{contents.m_published},
      m_services{std::move(contents.m_services)},
      m_targets{std::move(contents.m_targets)},
      m_failure_domains{std::move(contents.m_failure_domains)},
      m_by_service(m_targets.size())
{
    std::iota(m_by_service.begin(), m_by_service.end(), 0U);
    auto const by_service = [&](std::uint32_t a, std::uint32_t b)
    {
        return m_targets[a].m_service < m_targets[b].m_service;
    };
    std::stable_sort(m_by_service.begin(), m_by_service.end(), by_service);
}

std::uint64_t fleet::revision() const noexcept
{
    return m_revision;
}

std::string const& fleet::digest() const noexcept
{
    return m_digest;
}

std::chrono::milliseconds fleet::published() const noexcept
{
    return m_published;
}

std::vector<service_spec> const& fleet::services() const noexcept
{
    return m_services;
}

std::vector<target_spec> const& fleet::targets() const noexcept
{
    return m_targets;
}

std::vector<failure_domain> const& fleet::failure_domains() const noexcept
{
    return m_failure_domains;
}

service_spec const* fleet::find_service(std::string_view name) const noexcept
{
    return find_by_name(m_services, name);
}

target_spec const* fleet::find_target(std::string_view name) const noexcept
{
    return find_by_name(m_targets, name);
}

failure_domain const* fleet::find_failure_domain(
    std::string_view name) const noexcept
{
    return find_by_name(m_failure_domains, name);
}

bool fleet::in_service(std::string_view target) const noexcept
{
    auto const* const spec = find_target(target);
    if (spec == nullptr)
    {
        return false;
    }
    auto const* const domain = find_failure_domain(spec->m_failure_domain);
    return domain != nullptr && !domain->m_withdrawn;
}

std::vector<target_spec const*> fleet::targets_in_service(
    std::string_view service) const
{
    std::vector<target_spec const*> targets;
    auto const service_less = [&](std::uint32_t index, std::string_view wanted)
    {
        return m_targets[index].m_service < wanted;
    };
    auto it = std::lower_bound(
        m_by_service.begin(), m_by_service.end(), service, service_less);
    for (; it != m_by_service.end(); ++it)
    {
        auto const& target = m_targets[*it];
        if (target.m_service != service)
        {
            break;
        }
        auto const* const domain = find_failure_domain(target.m_failure_domain);
        if (domain != nullptr && !domain->m_withdrawn)
        {
            targets.push_back(&target);
        }
    }
    return targets;
}

value_or_errors<fleet> apply(
    fleet const& current, release_note const& note, std::string const& source)
{
    error_collector errors{source};
    fleet_contents next{
        .m_revision = note.m_revision,
        .m_digest = note.m_digest,
        .m_published = note.m_published};
    if (!note.m_checkpoint)
    {
        next.m_services = current.services();
        next.m_targets = current.targets();
        next.m_failure_domains = current.failure_domains();
    }
    apply_changes(next.m_services, note.m_services, "services", errors);
    apply_domain_changes(
        next.m_failure_domains, note.m_failure_domains, errors);
    apply_changes(next.m_targets, note.m_targets, "targets", errors);
    if (errors.all().empty())
    {
        check_references(next, errors);
    }
    if (!errors.all().empty())
    {
        return errors.all();
    }
    return fleet{std::move(next)};
}

release_note checkpoint_of(fleet const& state)
{
    release_note note{
        .m_revision = state.revision(),
        .m_digest = state.digest(),
        .m_published = state.published(),
        .m_checkpoint = true};
    note.m_services.m_added = state.services();
    note.m_targets.m_added = state.targets();
    for (auto const& domain : state.failure_domains())
    {
        note.m_failure_domains.m_added.push_back(domain.m_spec);
        if (domain.m_withdrawn)
        {
            note.m_failure_domains.m_withdrawn.push_back(domain.m_spec.m_name);
        }
    }
    return note;
}

} // namespace hibiscustide::core::release
