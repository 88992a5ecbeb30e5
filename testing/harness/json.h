// Owned jansson values for the stand-ins and tests.
//
//   const json_holder root = parseJson(body);
//   const double factor = numberIn(root.get(), "slowness", 1.0);
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <jansson.h>

namespace pistachioquay {

struct json_deleter
{
    void operator()(json_t *value) const
    {
        json_decref(value);
    }
};
using json_holder = std::unique_ptr<json_t, json_deleter>;

// parseJson reads a JSON value; null if `text` is malformed. Thread safe.
inline json_holder parseJson(std::string_view text)
{
    return json_holder(json_loadb(text.data(), text.size(), 0, nullptr));
}

// toText writes a value on one line. Thread safe as long as nobody changes `value`.
inline std::string toText(const json_t *value)
{
    char *raw = json_dumps(value, JSON_COMPACT);
    std::string text(raw == nullptr ? "" : raw);
    free(raw);
    return text;
}

// numberIn returns the number at `key`, or `fallback` if there is none. Thread safe.
inline double numberIn(const json_t *object, const char *key, double fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_number(value) ? json_number_value(value) : fallback;
}

// integerIn returns the integer at `key`, or `fallback` if there is none. Thread safe.
inline std::int64_t integerIn(const json_t *object, const char *key, std::int64_t fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_integer(value) ? json_integer_value(value) : fallback;
}

// flagIn returns the truth value at `key`, or `fallback` if there is none. Thread safe.
inline bool flagIn(const json_t *object, const char *key, bool fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_boolean(value) ? json_is_true(value) : fallback;
}

// textIn returns the text at `key`, or `fallback` if there is none. Thread safe.
inline std::string textIn(const json_t *object, const char *key, std::string_view fallback)
{
    const json_t *value = json_object_get(object, key);
    return json_is_string(value) ? std::string(json_string_value(value), json_string_length(value))
                                 : std::string(fallback);
}

} // namespace pistachioquay
