#include "net/mesh/codec.hpp"

#include <limits>
#include <type_traits>
#include <utility>

#include <msgpuck.h>

#include "net/head_check.hpp"
#include "net/mesh/compression.hpp"

namespace hibiscustide::net::mesh
{

namespace
{

using core::directory::item;
using core::directory::item_changes;

// Published items are texts that repeat many words, and a large configuration
// goes to every node.
constexpr std::size_t min_compressed_bytes = 1'024;

// Position of the kind in the header of a frame.
constexpr unsigned frame_kind_shift = 30;

// Writes a message as a sequence of MessagePack values: the index of its type
// in the variant, then its fields.
class writer
{
public:
    void write_array_header(std::size_t size)
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

    writer()
        : m_end{m_bytes.data()}
    {
    }

private:
    void extend(std::size_t additional)
    {
        auto const used = static_cast<std::size_t>(m_end - m_bytes.data());
        if (used + additional > m_bytes.size())
        {
            m_bytes.resize((used + additional) * 2);
        }
        m_end = m_bytes.data() + used;
    }

    std::string m_bytes;
    char* m_end;
};

// Reads the values that a writer wrote. The caller has checked that the bytes
// are complete MessagePack values, so only their types and their number can be
// wrong.
class reader
{
public:
    explicit reader(std::string_view bytes)
        : m_position{bytes.data()},
          m_end{bytes.data() + bytes.size()}
    {
    }

    [[nodiscard]] bool is_valid() const noexcept
    {
        return m_valid;
    }

    std::uint32_t read_array_header()
    {
        return expect(MP_ARRAY) ? mp_decode_array(&m_position) : 0;
    }

    void operator()(std::uint64_t& value)
    {
        value = expect(MP_UINT) ? mp_decode_uint(&m_position) : 0;
    }

    void operator()(std::uint32_t& value)
    {
        std::uint64_t number = 0;
        (*this)(number);
        m_valid =
            m_valid && number <= std::numeric_limits<std::uint32_t>::max();
        value = static_cast<std::uint32_t>(number);
    }

    void operator()(std::int64_t& value)
    {
        if (m_position < m_end && mp_typeof(*m_position) == MP_INT)
        {
            value = mp_decode_int(&m_position);
            return;
        }
        std::uint64_t number = 0;
        (*this)(number);
        value = static_cast<std::int64_t>(number);
    }

    void operator()(bool& value)
    {
        value = expect(MP_BOOL) && mp_decode_bool(&m_position);
    }

    void operator()(std::string& value)
    {
        if (!expect(MP_BIN))
        {
            return;
        }
        std::uint32_t size = 0;
        auto const* const data = mp_decode_bin(&m_position, &size);
        value.assign(data, size);
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void operator()(Enum& value)
    {
        std::uint64_t number = 0;
        (*this)(number);
        m_valid = m_valid && number <= max_enumerator;
        value = static_cast<Enum>(number);
    }

    template <typename Element>
    void operator()(std::vector<Element>& values);

private:
    // Greater than every enumerator that is sent. A greater number is
    // malformed.
    static constexpr std::uint64_t max_enumerator = 63;

    bool expect(mp_type type)
    {
        m_valid =
            m_valid && m_position < m_end && mp_typeof(*m_position) == type;
        return m_valid;
    }

    char const* m_position;
    char const* m_end;
    bool m_valid = true;
};

// Calls `visit` for each field of a value, in the order in which the fields are
// encoded. Used by the writer and by the reader.
template <typename Visitor>
void for_each_field(Visitor& visit, auto& value)
{
    using type = std::remove_cvref_t<decltype(value)>;
    if constexpr (std::is_same_v<type, header_field>)
    {
        visit(value.m_name);
        visit(value.m_value);
    }
    else if constexpr (std::is_same_v<type, item>)
    {
        visit(value.m_key);
        visit(value.m_value);
        visit(value.m_revision);
        visit(value.m_removed);
    }
    else if constexpr (std::is_same_v<type, core::admission::crash_report>)
    {
        visit(value.m_number);
        visit(value.m_suspects);
    }
    else if constexpr (std::is_same_v<type, hello>)
    {
        visit(value.m_node);
        visit(value.m_incarnation);
        visit(value.m_connection);
    }
    else if constexpr (std::is_same_v<type, run_request>)
    {
        visit(value.m_id);
        visit(value.m_attempt);
        visit(value.m_service);
        visit(value.m_caller);
        visit(value.m_organisation);
        visit(value.m_method);
        visit(value.m_path);
        visit(value.m_fields);
        visit(value.m_body);
        visit(value.m_body_follows);
        visit(value.m_body_length);
        visit(value.m_sent_at_us);
        visit(value.m_deadline_left_ms);
        visit(value.m_objective_left_ms);
        visit(value.m_work_ms);
        visit(value.m_priority);
        visit(value.m_idempotent);
    }
    else if constexpr (std::is_same_v<type, run_result>)
    {
        visit(value.m_id);
        visit(value.m_outcome);
        visit(value.m_reason);
        visit(value.m_retry_after_ms);
        visit(value.m_reached_target);
        visit(value.m_status);
        visit(value.m_work_us);
        visit(value.m_fields);
        visit(value.m_body);
    }
    else if constexpr (std::is_same_v<type, body_grant>)
    {
        visit(value.m_id);
        visit(value.m_limit);
    }
    else if constexpr (std::is_same_v<type, body_piece>)
    {
        visit(value.m_id);
        visit(value.m_bytes);
        visit(value.m_end);
    }
    else if constexpr (std::is_same_v<type, cancel_request>)
    {
        visit(value.m_id);
    }
    else if constexpr (std::is_same_v<type, resume_requests>)
    {
        visit(value.m_ids);
    }
    else if constexpr (std::is_same_v<type, ping>)
    {
        visit(value.m_is_answer);
    }
    else if constexpr (std::is_same_v<type, changes_request>)
    {
        visit(value.m_era);
        visit(value.m_after);
    }
    else if constexpr (std::is_same_v<type, compressed_message>)
    {
        visit(value.m_size);
        visit(value.m_bytes);
    }
    else if constexpr (std::is_same_v<type, item_changes>)
    {
        visit(value.m_era);
        visit(value.m_after);
        visit(value.m_revision);
        visit(value.m_complete);
        visit(value.m_items);
    }
    else if constexpr (std::is_same_v<type, core::quota::quota_request>)
    {
        visit(value.m_sequence);
        visit(value.m_organisation);
        visit(value.m_wanted);
    }
    else if constexpr (std::is_same_v<type, core::quota::quota_grant>)
    {
        visit(value.m_sequence);
        visit(value.m_outcome);
        visit(value.m_granted);
        visit(value.m_retry_after_ms);
    }
    else if constexpr (std::is_same_v<type, core::quota::heard_node>)
    {
        visit(value.m_hash);
        visit(value.m_age_ms);
    }
    else if constexpr (std::is_same_v<type, reach_request>)
    {
        visit(value.m_nodes);
    }
    else if constexpr (std::is_same_v<type, reach_reply>)
    {
        visit(value.m_heard);
    }
    else if constexpr (std::is_same_v<type, node_status>)
    {
        visit(value.m_incarnation);
        visit(value.m_sequence);
        visit(value.m_domain_hash);
        visit(value.m_era);
        visit(value.m_revision);
        visit(value.m_is_reader);
        visit(value.m_recovered);
        visit(value.m_reports_every_change);
        visit(value.m_target.m_running);
        visit(value.m_target.m_waiting);
        visit(value.m_target.m_slots);
        visit(value.m_target.m_speed.m_slowness);
        visit(value.m_target.m_speed.m_mean_slowness);
        visit(value.m_target.m_speed.m_remaining_ms);
        visit(value.m_target.m_failure_percent);
        visit(value.m_target.m_cold_budget);
        visit(value.m_target.m_cold);
        visit(value.m_target.m_open);
        visit(value.m_target.m_measured_share_percent);
        visit(value.m_target.m_wait_ms);
        visit(value.m_crashes.m_crashes);
        visit(value.m_crashes.m_cleared);
    }
}

template <typename Element>
void writer::operator()(std::vector<Element> const& values)
{
    write_array_header(values.size());
    for (auto const& value : values)
    {
        if constexpr (std::is_arithmetic_v<Element>)
        {
            (*this)(value);
        }
        else
        {
            for_each_field(*this, value);
        }
    }
}

template <typename Element>
void reader::operator()(std::vector<Element>& values)
{
    auto const count = read_array_header();
    // Each element takes at least one byte. This check bounds the memory that
    // a malformed count reserves.
    if (count > static_cast<std::size_t>(m_end - m_position))
    {
        m_valid = false;
        return;
    }
    values.reserve(count);
    for (std::uint32_t n = 0; n < count && m_valid; ++n)
    {
        Element value{};
        if constexpr (std::is_arithmetic_v<Element>)
        {
            (*this)(value);
        }
        else
        {
            for_each_field(*this, value);
        }
        values.push_back(std::move(value));
    }
}

// Whether the bytes are one or more complete MessagePack values.
bool is_value_sequence(std::string_view bytes)
{
    auto const* position = bytes.data();
    auto const* const end = bytes.data() + bytes.size();
    while (position < end)
    {
        if (mp_check(&position, end) != 0)
        {
            return false;
        }
    }
    return !bytes.empty();
}

// Whether the parts of a request or result that become parts of a head are
// valid there. They are written to a target or a caller without another check.
template <typename Message>
bool has_valid_head(Message const& /*value*/)
{
    return true;
}

template <>
bool has_valid_head(run_request const& value)
{
    return is_token(value.m_method) && is_request_target(value.m_path) &&
           is_field_value(value.m_attempt) && is_field_value(value.m_caller) &&
           are_valid_fields(value.m_fields);
}

template <>
bool has_valid_head(run_result const& value)
{
    // Only an answer has a status; 0 stands for none.
    bool const has_no_status =
        value.m_outcome != outcome::answered && value.m_status == 0;
    bool const is_valid_status =
        has_no_status || is_final_status(value.m_status);
    return is_valid_status && are_valid_fields(value.m_fields);
}

// Reads a message of the type with this index in the variant.
template <typename Message, std::size_t Index = 0>
std::optional<Message> read_alternative(reader& in, std::uint64_t index)
{
    if constexpr (Index < std::variant_size_v<Message>)
    {
        if (index != Index)
        {
            return read_alternative<Message, Index + 1>(in, index);
        }
        std::variant_alternative_t<Index, Message> value{};
        for_each_field(in, value);
        if (in.is_valid() && has_valid_head(value))
        {
            return Message{std::move(value)};
        }
    }
    return std::nullopt;
}

// Encodes a message as it is.
std::string encode_plain(message const& value)
{
    writer out;
    out(std::uint64_t{value.index()});
    std::visit(
        [&out](auto const& alternative)
        {
            for_each_field(out, alternative);
        },
        value);
    return out.take();
}

std::optional<message> decode_plain(std::string_view bytes)
{
    if (!is_value_sequence(bytes))
    {
        return std::nullopt;
    }
    reader in{bytes};
    std::uint64_t index = 0;
    in(index);
    return in.is_valid() ? read_alternative<message>(in, index) : std::nullopt;
}

} // namespace

std::string encode_frame_header(frame_header const& header)
{
    auto const kind = static_cast<std::uint32_t>(header.m_kind);
    auto value = static_cast<std::uint32_t>(header.m_length) |
                 (kind << frame_kind_shift);
    std::string bytes(frame_header_bytes, '\0');
    for (std::size_t n = frame_header_bytes; n > 0; --n)
    {
        bytes[n - 1] = static_cast<char>(value & 0xffU);
        value >>= 8U;
    }
    return bytes;
}

frame_header decode_frame_header(std::string_view bytes) noexcept
{
    std::uint32_t value = 0;
    for (auto const byte : bytes.substr(0, frame_header_bytes))
    {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    constexpr std::uint32_t length_mask = (1U << frame_kind_shift) - 1;
    return {
        .m_kind = static_cast<frame_kind>(value >> frame_kind_shift),
        .m_length = value & length_mask};
}

std::string encode_message(message const& value)
{
    auto bytes = encode_plain(value);
    bool const is_compressed = std::holds_alternative<item_changes>(value) &&
                               bytes.size() >= min_compressed_bytes;
    if (!is_compressed)
    {
        return bytes;
    }
    return encode_plain(
        compressed_message{.m_size = bytes.size(), .m_bytes = compress(bytes)});
}

std::optional<message> decode_message(std::string_view bytes)
{
    auto value = decode_plain(bytes);
    auto const* const compressed =
        value ? std::get_if<compressed_message>(&*value) : nullptr;
    if (compressed == nullptr)
    {
        return value;
    }
    if (compressed->m_size > max_message_bytes)
    {
        return std::nullopt;
    }
    auto const inner = decompress(compressed->m_bytes, compressed->m_size);
    auto decoded = inner ? decode_plain(*inner) : std::nullopt;
    bool const is_nested =
        decoded && std::holds_alternative<compressed_message>(*decoded);
    return is_nested ? std::nullopt : std::move(decoded);
}

std::string encode_status(node_status const& value)
{
    writer out;
    for_each_field(out, value);
    return out.take();
}

std::optional<node_status> decode_status(std::string_view bytes)
{
    if (!is_value_sequence(bytes))
    {
        return std::nullopt;
    }
    reader in{bytes};
    node_status value;
    for_each_field(in, value);
    return in.is_valid() ? std::optional{value} : std::nullopt;
}

// A status begins with a number, a quota message with this value, so that no
// datagram is both.
std::string encode_quota_message(quota_message const& value)
{
    writer out;
    out(true);
    out(std::uint64_t{value.index()});
    std::visit(
        [&out](auto const& alternative)
        {
            for_each_field(out, alternative);
        },
        value);
    return out.take();
}

std::optional<quota_message> decode_quota_message(std::string_view bytes)
{
    if (!is_value_sequence(bytes))
    {
        return std::nullopt;
    }
    reader in{bytes};
    bool is_quota_message = false;
    in(is_quota_message);
    std::uint64_t index = 0;
    in(index);
    if (!in.is_valid() || !is_quota_message)
    {
        return std::nullopt;
    }
    auto value = read_alternative<quota_message>(in, index);
    auto const* const grant =
        value ? std::get_if<core::quota::quota_grant>(&*value) : nullptr;
    bool const has_unknown_outcome =
        grant != nullptr &&
        grant->m_outcome > core::quota::quota_outcome::not_responsible;
    // Only the bytes that the encoder writes are accepted. This also rejects
    // numbers that are too large, and further values.
    bool const is_valid =
        value && !has_unknown_outcome && encode_quota_message(*value) == bytes;
    return is_valid ? std::move(value) : std::nullopt;
}

} // namespace hibiscustide::net::mesh
