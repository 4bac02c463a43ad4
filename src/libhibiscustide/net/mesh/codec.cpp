#include "net/mesh/codec.hpp"

#include <type_traits>
#include <utility>

#include <msgpuck.h>

namespace hibiscustide::net::mesh
{

namespace
{

using core::directory::item;
using core::directory::item_changes;

// A message is a row of values: its number in the variant, then its fields.
class writer
{
public:
    void array(std::size_t size)
    {
        auto const count = static_cast<std::uint32_t>(size);
        extend(mp_sizeof_array(count));
        m_end = mp_encode_array(m_end, count);
    }

    void operator()(std::uint64_t value)
    {
        extend(mp_sizeof_uint(value));
        m_end = mp_encode_uint(m_end, value);
    }

    void operator()(std::uint32_t value)
    {
        (*this)(std::uint64_t{value});
    }

    void operator()(std::int64_t value)
    {
        if (value >= 0)
        {
            (*this)(static_cast<std::uint64_t>(value));
            return;
        }
        extend(mp_sizeof_int(value));
        m_end = mp_encode_int(m_end, value);
    }

    void operator()(bool value)
    {
        extend(mp_sizeof_bool(value));
        m_end = mp_encode_bool(m_end, value);
    }

    void operator()(std::string const& value)
    {
        auto const size = static_cast<std::uint32_t>(value.size());
        extend(mp_sizeof_bin(size));
        m_end = mp_encode_bin(m_end, value.data(), size);
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void operator()(Enum value)
    {
        (*this)(static_cast<std::uint64_t>(value));
    }

    template <typename Element>
    void operator()(std::vector<Element> const& values);

    std::string take()
    {
        m_bytes.resize(static_cast<std::size_t>(m_end - m_bytes.data()));
        return std::move(m_bytes);
    }

    explicit writer(std::size_t head)
        : m_bytes(head, '\0'),
          m_end{m_bytes.data() + head}
    {
    }

private:
    void extend(std::size_t more)
    {
        auto const used = static_cast<std::size_t>(m_end - m_bytes.data());
        if (used + more > m_bytes.size())
        {
            m_bytes.resize((used + more) * 2);
        }
        m_end = m_bytes.data() + used;
    }

    std::string m_bytes;
    char* m_end;
};

// Reads what a writer wrote. The bytes have been checked to be one whole
// value, so only the types can be wrong.
class reader
{
public:
    explicit reader(std::string_view bytes)
        : m_at{bytes.data()},
          m_end{bytes.data() + bytes.size()}
    {
    }

    [[nodiscard]] bool is_good() const noexcept
    {
        return m_good;
    }

    std::uint32_t array()
    {
        return expect(MP_ARRAY) ? mp_decode_array(&m_at) : 0;
    }

    void operator()(std::uint64_t& value)
    {
        value = expect(MP_UINT) ? mp_decode_uint(&m_at) : 0;
    }

    void operator()(std::uint32_t& value)
    {
        std::uint64_t wide = 0;
        (*this)(wide);
        value = static_cast<std::uint32_t>(wide);
    }

    void operator()(std::int64_t& value)
    {
        if (m_at < m_end && mp_typeof(*m_at) == MP_INT)
        {
            value = mp_decode_int(&m_at);
            return;
        }
        std::uint64_t wide = 0;
        (*this)(wide);
        value = static_cast<std::int64_t>(wide);
    }

    void operator()(bool& value)
    {
        value = expect(MP_BOOL) && mp_decode_bool(&m_at);
    }

    void operator()(std::string& value)
    {
        if (!expect(MP_BIN))
        {
            return;
        }
        std::uint32_t size = 0;
        auto const* const data = mp_decode_bin(&m_at, &size);
        value.assign(data, size);
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void operator()(Enum& value)
    {
        std::uint64_t wide = 0;
        (*this)(wide);
        m_good = m_good && wide <= max_enum;
        value = static_cast<Enum>(wide);
    }

    template <typename Element>
    void operator()(std::vector<Element>& values);

private:
    static constexpr std::uint64_t max_enum = 63;

    bool expect(mp_type type)
    {
        m_good = m_good && m_at < m_end && mp_typeof(*m_at) == type;
        return m_good;
    }

    char const* m_at;
    char const* m_end;
    bool m_good = true;
};

// Calls `on` with each field of a value, in the order of the wire. Serves
// writing and reading alike.
template <typename On>
void each_field(On& on, auto& value)
{
    using type = std::remove_cvref_t<decltype(value)>;
    if constexpr (std::is_same_v<type, header_field>)
    {
        on(value.m_name);
        on(value.m_value);
    }
    else if constexpr (std::is_same_v<type, item>)
    {
        on(value.m_key);
        on(value.m_value);
        on(value.m_revision);
        on(value.m_removed);
    }
    else if constexpr (std::is_same_v<type, core::admission::crash_report>)
    {
        on(value.m_number);
        on(value.m_suspects);
    }
    else if constexpr (std::is_same_v<type, hello>)
    {
        on(value.m_node);
        on(value.m_incarnation);
    }
    else if constexpr (std::is_same_v<type, run_request>)
    {
        on(value.m_id);
        on(value.m_attempt);
        on(value.m_service);
        on(value.m_caller);
        on(value.m_method);
        on(value.m_path);
        on(value.m_fields);
        on(value.m_body);
        on(value.m_left_ms);
        on(value.m_objective_ms);
        on(value.m_work_ms);
        on(value.m_priority);
        on(value.m_idempotent);
    }
    else if constexpr (std::is_same_v<type, run_result>)
    {
        on(value.m_id);
        on(value.m_outcome);
        on(value.m_reason);
        on(value.m_retry_after_ms);
        on(value.m_reached_target);
        on(value.m_status);
        on(value.m_work_us);
        on(value.m_fields);
        on(value.m_body);
    }
    else if constexpr (std::is_same_v<type, cancel_request>)
    {
        on(value.m_id);
    }
    else if constexpr (std::is_same_v<type, resume_requests>)
    {
        on(value.m_ids);
    }
    else if constexpr (std::is_same_v<type, ping>)
    {
        on(value.m_is_answer);
    }
    else if constexpr (std::is_same_v<type, changes_wanted>)
    {
        on(value.m_after);
    }
    else if constexpr (std::is_same_v<type, item_changes>)
    {
        on(value.m_after);
        on(value.m_revision);
        on(value.m_complete);
        on(value.m_items);
    }
    else if constexpr (std::is_same_v<type, node_status>)
    {
        on(value.m_incarnation);
        on(value.m_sequence);
        on(value.m_domain);
        on(value.m_revision);
        on(value.m_reads);
        on(value.m_recovered);
        on(value.m_follows);
        on(value.m_target.m_running);
        on(value.m_target.m_waiting);
        on(value.m_target.m_slots);
        on(value.m_target.m_speed.m_slowness);
        on(value.m_target.m_speed.m_mean_slowness);
        on(value.m_target.m_speed.m_remaining_ms);
        on(value.m_target.m_failure_percent);
        on(value.m_target.m_cold_budget);
        on(value.m_target.m_cold);
        on(value.m_target.m_open);
        on(value.m_crashes.m_crashes);
        on(value.m_crashes.m_cleared);
    }
}

template <typename Element>
void writer::operator()(std::vector<Element> const& values)
{
    array(values.size());
    for (auto const& value : values)
    {
        if constexpr (std::is_arithmetic_v<Element>)
        {
            (*this)(value);
        }
        else
        {
            each_field(*this, value);
        }
    }
}

template <typename Element>
void reader::operator()(std::vector<Element>& values)
{
    auto const count = array();
    // Each element takes a byte at least, which bounds the memory.
    if (count > static_cast<std::size_t>(m_end - m_at))
    {
        m_good = false;
        return;
    }
    values.reserve(count);
    for (std::uint32_t n = 0; n < count && m_good; ++n)
    {
        Element value{};
        if constexpr (std::is_arithmetic_v<Element>)
        {
            (*this)(value);
        }
        else
        {
            each_field(*this, value);
        }
        values.push_back(std::move(value));
    }
}

bool is_flat_sequence(std::string_view bytes)
{
    auto const* at = bytes.data();
    auto const* const end = bytes.data() + bytes.size();
    while (at < end)
    {
        if (mp_check(&at, end) != 0)
        {
            return false;
        }
    }
    return !bytes.empty();
}

template <std::size_t Index = 0>
std::optional<message> read_alternative(reader& in, std::uint64_t index)
{
    if constexpr (Index < std::variant_size_v<message>)
    {
        if (index != Index)
        {
            return read_alternative<Index + 1>(in, index);
        }
        std::variant_alternative_t<Index, message> value{};
        each_field(in, value);
        if (in.is_good())
        {
            return message{std::move(value)};
        }
    }
    return std::nullopt;
}

} // namespace

std::string encode_frame(message const& value)
{
    writer out{frame_head_bytes};
    out(std::uint64_t{value.index()});
    std::visit(
        [&out](auto const& alternative)
        {
            each_field(out, alternative);
        },
        value);
    auto bytes = out.take();
    auto length = bytes.size() - frame_head_bytes;
    for (std::size_t n = frame_head_bytes; n > 0; --n)
    {
        bytes[n - 1] = static_cast<char>(length & 0xffU);
        length >>= 8U;
    }
    return bytes;
}

std::size_t frame_length(std::string_view head) noexcept
{
    std::size_t length = 0;
    for (auto const byte : head.substr(0, frame_head_bytes))
    {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}

std::optional<message> decode_message(std::string_view bytes)
{
    if (!is_flat_sequence(bytes))
    {
        return std::nullopt;
    }
    reader in{bytes};
    std::uint64_t index = 0;
    in(index);
    return in.is_good() ? read_alternative(in, index) : std::nullopt;
}

std::string encode_status(node_status const& value)
{
    writer out{0};
    each_field(out, value);
    return out.take();
}

std::optional<node_status> decode_status(std::string_view bytes)
{
    if (!is_flat_sequence(bytes))
    {
        return std::nullopt;
    }
    reader in{bytes};
    node_status value;
    each_field(in, value);
    return in.is_good() ? std::optional{value} : std::nullopt;
}

} // namespace hibiscustide::net::mesh
