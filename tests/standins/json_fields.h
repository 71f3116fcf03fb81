/// \file
/// Reading JSON fields whose type may be wrong.
#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

namespace standin {

using json = nlohmann::json;

/// \return the parsed text, or a discarded value.
inline json parse_json(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

/// \return the text at `key`, or empty when it is absent or no text.
inline std::string text_at(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// \return the whole number at `key`, or `otherwise` when it is absent or no number.
inline std::int64_t number_at(const json& object, const char* key, std::int64_t otherwise = 0)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                               : otherwise;
}

/// \return the truth value at `key`, or false when it is absent or none.
inline bool flag_at(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

/// \return the array at `key`, or an empty one when it is absent or no array.
inline json array_at(const json& object, const char* key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_array() ? *found : json::array();
}

} // namespace standin
