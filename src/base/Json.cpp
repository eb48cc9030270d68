#include "base/Json.h"

#include <vector>

#include <fmt/format.h>

namespace rattanshunt::base {

using Json = nlohmann::json;

namespace {

    // Builds a value from the parser's events. Returning false ends the parse, so the recursion of the MessagePack
    // parser is bounded too.
    class BoundedBuilder final : public nlohmann::json_sax<Json> {
    public:
        Json take() { return std::move(m_root); }
        const std::string& fault() const { return m_fault; }

        bool null() override { return add(Json(nullptr)); }
        bool boolean(bool value) override { return add(Json(value)); }
        bool number_integer(number_integer_t value) override { return add(Json(value)); }
        bool number_unsigned(number_unsigned_t value) override { return add(Json(value)); }
        bool number_float(number_float_t value, const string_t&) override { return add(Json(value)); }
        bool string(string_t& value) override { return add(Json(std::move(value))); }
        bool binary(binary_t& value) override { return add(Json::binary(std::move(value))); }
        bool start_object(size_t) override { return begin(Json::object()); }
        bool start_array(size_t) override { return begin(Json::array()); }
        bool end_object() override { return end(); }
        bool end_array() override { return end(); }

        bool key(string_t& name) override
        {
            m_member = &(*m_open.back())[name];
            return true;
        }

        bool parse_error(size_t, const std::string&, const nlohmann::detail::exception& error) override
        {
            m_fault = error.what();
            return false;
        }

    private:
        Json* place(Json&& value)
        {
            if (m_open.empty()) {
                m_root = std::move(value);
                return &m_root;
            }
            if (m_open.back()->is_array()) {
                m_open.back()->push_back(std::move(value));
                return &m_open.back()->back();
            }
            *m_member = std::move(value);
            return m_member;
        }

        bool add(Json&& value)
        {
            place(std::move(value));
            return true;
        }

        bool begin(Json&& container)
        {
            if (m_open.size() >= maxJsonDepth) {
                m_fault = fmt::format("nested more than {} levels deep", maxJsonDepth);
                return false;
            }
            m_open.push_back(place(std::move(container)));
            return true;
        }

        bool end()
        {
            m_open.pop_back();
            return true;
        }

        Json m_root { Json::value_t::discarded };
        std::vector<Json*> m_open; // containers around the next value; none of them is moved while it is open
        Json* m_member = nullptr;  // of the innermost object, for its next value
        std::string m_fault;
    };

    Json discarded()
    {
        return Json(Json::value_t::discarded);
    }

    bool build(BoundedBuilder& builder, std::string_view text)
    {
        return Json::sax_parse(text.begin(), text.end(), &builder);
    }

} // namespace

Json jsonParse(std::string_view text)
{
    BoundedBuilder builder;
    if (!build(builder, text))
        throw JsonFault(builder.fault());
    return builder.take();
}

Json jsonTryParse(std::string_view text)
{
    BoundedBuilder builder;
    return build(builder, text) ? builder.take() : discarded();
}

Json jsonTryParseMessagePack(std::string_view bytes)
{
    BoundedBuilder builder;
    bool isParsed = Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::msgpack);
    return isParsed ? builder.take() : discarded();
}

std::optional<int64_t> jsonInteger(const Json& value)
{
    if (value.is_number_unsigned())
        return value.get<uint64_t>() <= uint64_t(maxExactInteger) ? std::optional(value.get<int64_t>()) : std::nullopt;
    if (!value.is_number_integer() || value.get<int64_t>() < 0)
        return std::nullopt;
    return value.get<int64_t>() <= maxExactInteger ? std::optional(value.get<int64_t>()) : std::nullopt;
}

} // namespace rattanshunt::base
