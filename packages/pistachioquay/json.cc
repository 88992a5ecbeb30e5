#include "pistachioquay/json.h"

#include <cstdlib>

namespace pistachioquay {

json_value jsonObject()
{
    return json_value(json_object());
}

json_value jsonArray()
{
    return json_value(json_array());
}

void put(const json_value &object, const char *key, json_value member)
{
    json_object_set_new(object.get(), key, member.release());
}

void putText(const json_value &object, const char *key, std::string_view text)
{
    json_object_set_new(object.get(), key, json_stringn(text.data(), text.size()));
}

void putNumber(const json_value &object, const char *key, std::uint64_t number)
{
    json_object_set_new(object.get(), key, json_integer(static_cast<json_int_t>(number)));
}

void putFlag(const json_value &object, const char *key, bool flag)
{
    json_object_set_new(object.get(), key, json_boolean(flag));
}

void append(const json_value &array, json_value item)
{
    json_array_append_new(array.get(), item.release());
}

json_value readJson(std::string_view text)
{
    return json_value(json_loadb(text.data(), text.size(), 0, nullptr));
}

std::string textAt(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);
    return json_is_string(value) ? std::string(json_string_value(value), json_string_length(value)) : std::string();
}

std::uint64_t numberAt(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);
    return json_is_integer(value) && json_integer_value(value) > 0
        ? static_cast<std::uint64_t>(json_integer_value(value))
        : 0;
}

std::string toText(const json_value &value)
{
    char *raw = json_dumps(value.get(), JSON_COMPACT);
    std::string text(raw == nullptr ? "" : raw);
    std::free(raw);
    return text;
}

} // namespace pistachioquay
