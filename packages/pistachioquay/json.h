// Owned JSON values for the output and for the status of nodes.
//
//   json_value root = jsonObject();
//   putText(root, "error", "conflict");
//   std::cout << toText(root) << '\n';
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <jansson.h>

namespace pistachioquay {

struct json_release
{
    void operator()(json_t *value) const
    {
        json_decref(value);
    }
};

using json_value = std::unique_ptr<json_t, json_release>;

// jsonObject and jsonArray return empty values. Thread safe.
json_value jsonObject();
json_value jsonArray();

// put, putText, putNumber and putFlag set a member of an object. Not thread safe for one object.
void put(const json_value &object, const char *key, json_value member);
void putText(const json_value &object, const char *key, std::string_view text);
void putNumber(const json_value &object, const char *key, std::uint64_t number);
void putFlag(const json_value &object, const char *key, bool flag);

// append adds to an array. Not thread safe for one array.
void append(const json_value &array, json_value item);

// readJson reads a JSON value; null if `text` is malformed. Thread safe.
json_value readJson(std::string_view text);

// textAt and numberAt return a member of an object, or an empty text and 0. Thread safe.
std::string textAt(const json_t *object, const char *key);
std::uint64_t numberAt(const json_t *object, const char *key);

// toText writes a value on one line. Thread safe.
std::string toText(const json_value &value);

} // namespace pistachioquay
