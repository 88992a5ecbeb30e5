// Random edits over a small set of places and names, so that edits meet and references dangle often.
#pragma once

#include <array>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "version/tree/config_tree.h"

namespace pistachioquay::sample {

inline scalar text(std::string value)
{
    return {std::move(value)};
}

inline scalar number(std::int64_t value)
{
    return {value};
}

inline const std::vector<place> &places()
{
    static const std::vector<place> all = {{}, {"a", ""}, {"b", ""}, {"a", "s"}, {"a", "t"}, {"b", "s"}, {"b", "t"}};
    return all;
}

inline void addPolicy(const place &where, const std::string &name, std::int64_t deadlineMs, std::vector<edit> &edits)
{
    edits.push_back(setValue({where, {value_kind::Policy, name, "class"}}, text("lookup")));
    edits.push_back(setValue({where, {value_kind::Policy, name, "idempotent"}}, true));
    edits.push_back(setValue({where, {value_kind::Policy, name, "deadline_ms"}}, number(deadlineMs)));
}

inline void addRoute(const place &where, const std::string &name, const std::string &prefix, std::vector<edit> &edits)
{
    edits.push_back(setValue({where, {value_kind::Route, name, "prefix"}}, text(prefix)));
    edits.push_back(setValue({where, {value_kind::Route, name, "policy"}}, text("p")));
}

// Edits that build a valid tree with two data centres, services, routes, policies and limits.
inline std::vector<edit> startEdits()
{
    std::vector<edit> edits;
    addPolicy({}, "p", 100, edits);
    for (const place &where : places()) {
        if (!where.dataCentre.empty()) {
            edits.push_back(addPlace(where));
        }
    }
    addRoute({"a", "s"}, "x", "/x", edits);
    addRoute({"a", "t"}, "y", "/y", edits);
    addRoute({"b", "s"}, "x", "/x", edits);
    edits.push_back(setValue({{"b", ""}, {value_kind::Limit, "l", "concurrency"}}, number(4)));
    edits.push_back(setValue({{"b", "s"}, {value_kind::Route, "x", "limit"}}, text("l")));
    return edits;
}

inline edit makeEdit(unsigned action, unsigned placeIndex, unsigned keyIndex, unsigned valueIndex)
{
    static const std::array<value_key, 12> keys = {{
        {value_kind::Policy, "p", "class"},
        {value_kind::Policy, "p", "deadline_ms"},
        {value_kind::Policy, "q", "class"},
        {value_kind::Policy, "q", "idempotent"},
        {value_kind::Policy, "q", "deadline_ms"},
        {value_kind::Limit, "l", "concurrency"},
        {value_kind::Route, "x", "prefix"},
        {value_kind::Route, "x", "methods"},
        {value_kind::Route, "x", "policy"},
        {value_kind::Route, "y", "prefix"},
        {value_kind::Route, "y", "service"},
        {value_kind::Route, "y", "limit"},
    }};
    const place &where = places()[placeIndex % places().size()];
    const value_key &key = keys.at(keyIndex % keys.size());
    const auto pick = [&](const std::string &first, const std::string &second) {
        return text(valueIndex % 2 == 0 ? first : second);
    };
    scalar value = number(1 + valueIndex % 50);
    if (key.key == "class") {
        value = pick("lookup", "upload");
    } else if (key.key == "idempotent") {
        value = valueIndex % 2 == 0;
    } else if (key.key == "prefix") {
        value = pick("/x", "/y/z");
    } else if (key.key == "methods") {
        value = pick("GET", "POST,PUT");
    } else if (key.key == "policy") {
        value = pick("p", "q");
    } else if (key.key == "service") {
        value = pick("s", "t");
    } else if (key.key == "limit") {
        value = pick("l", "m");
    }
    if (action < 6) {
        return setValue({where, key}, value);
    }
    if (action < 8) {
        return unsetValue({where, key});
    }
    return action == 8 ? addPlace(where) : removePlace(where);
}

// A route, a policy, or a data centre as a whole: edits that are only valid together.
inline std::vector<edit> makeGroup(unsigned action, unsigned placeIndex, unsigned valueIndex)
{
    const place &where = places()[placeIndex % places().size()];
    std::vector<edit> edits;
    if (action == 0) {
        addRoute(where, valueIndex % 2 == 0 ? "x" : "y", valueIndex % 3 == 0 ? "/x" : "/y", edits);
    } else if (action == 1) {
        addPolicy(where, valueIndex % 2 == 0 ? "p" : "q", 1 + valueIndex, edits);
    } else {
        edits = {addPlace({where.dataCentre, ""}), addPlace({where.dataCentre, "s"})};
    }
    return edits;
}

inline rc::Gen<std::vector<edit>> anyEdits()
{
    const auto small = [](unsigned limit) {
        return rc::gen::inRange<unsigned>(0, limit);
    };
    const auto single = rc::gen::apply(makeEdit, small(10), small(7), small(12), small(100));
    const auto group = rc::gen::apply(makeGroup, small(3), small(7), small(12));
    const auto few = rc::gen::mapcat(small(3), [=](unsigned count) {
        return rc::gen::container<std::vector<edit>>(count + 1, single);
    });
    return rc::gen::weightedOneOf<std::vector<edit>>({{3, few}, {1, group}});
}

inline rc::Gen<std::vector<std::vector<edit>>> anySequence()
{
    return rc::gen::container<std::vector<std::vector<edit>>>(anyEdits());
}

} // namespace pistachioquay::sample

namespace pistachioquay {
inline void showValue(const edit &change, std::ostream &stream)
{
    stream << toText(change);
}
} // namespace pistachioquay
