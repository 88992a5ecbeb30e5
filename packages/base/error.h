// Typed errors and the result type that every library of the workspace returns.
//
//   result<int> parsePort(std::string_view text)
//   {
//       if (text.empty())
//           return fail(error_kind::InvalidArgument, "the port is empty", "give a number from 1 to 65535");
//       ...
//   }
//   const auto port = attempt([&] { return parsePort(text); });
//   if (!port)
//       std::cerr << describe(port.failure()) << '\n';
#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include <boost/leaf.hpp>

namespace pistachioquay {

// What went wrong, as far as a caller acts on it.
enum class error_kind
{
    InvalidArgument,
    InvalidSettings,
    InvalidTree,
    Conflict,
    NotFound,
    Unavailable,
    Timeout,
    Corrupt,
    UnreadableSchema,
    ResourceExhausted,
    Io,
    Internal,
};

// One failure. `message` says what happened, `remedy` what the reader can do about it.
struct error
{
    error_kind kind = error_kind::Internal;
    std::string message;
    std::string remedy;

    friend auto operator<=>(const error &, const error &) = default;
};

template<class T>
using result = boost::leaf::result<T>;

// fail creates a failed result that carries an `error`. Thread safe. The error is only kept inside a call of `attempt`.
boost::leaf::error_id fail(error_kind kind, std::string_view message, std::string_view remedy);

// fail creates a failed result from an existing error. Thread safe.
boost::leaf::error_id fail(const error &failure);

// kindName returns the stable lower-case name of a kind, as shown in JSON and logs. Thread safe.
std::string_view kindName(error_kind kind);

// describe formats an error as "<kind>: <message>; <remedy>". Thread safe.
std::string describe(const error &failure);

// The value or the error of an attempt.
template<class T>
class outcome
{
public:
    outcome(T value)
        : m_state(std::in_place_index<0>, std::move(value))
    {
    }
    outcome(error failure)
        : m_state(std::in_place_index<1>, std::move(failure))
    {
    }
    explicit operator bool() const
    {
        return m_state.index() == 0;
    }
    const T &operator*() const &
    {
        return std::get<0>(m_state);
    }
    T &operator*() &
    {
        return std::get<0>(m_state);
    }
    T &&operator*() &&
    {
        return std::get<0>(std::move(m_state));
    }
    const T *operator->() const
    {
        return &std::get<0>(m_state);
    }
    T *operator->()
    {
        return &std::get<0>(m_state);
    }
    const error &failure() const
    {
        return std::get<1>(m_state);
    }

private:
    std::variant<T, error> m_state;
};

// Value of an attempt of a function that returns result<void>.
struct success
{
    friend auto operator<=>(const success &, const success &) = default;
};

namespace internal {
template<class T>
struct value_of;
template<class T>
struct value_of<result<T>>
{
    using type = T;
};
} // namespace internal

// attempt runs a function that returns `result<T>` and turns it into an `outcome<T>` (`outcome<success>` for void), so
// that errors are handled in one place. Thread safe. A failure without an `error` becomes kind Internal.
template<class Function>
auto attempt(Function &&function)
{
    using value_type = typename internal::value_of<std::invoke_result_t<Function>>::type;
    using kept_type = std::conditional_t<std::is_void_v<value_type>, success, value_type>;
    return boost::leaf::try_handle_all(
        [&]() -> result<outcome<kept_type>> {
            if constexpr (std::is_void_v<value_type>) {
                BOOST_LEAF_CHECK(std::forward<Function>(function)());
                return outcome<kept_type>(success{});
            } else {
                BOOST_LEAF_AUTO(value, std::forward<Function>(function)());
                return outcome<kept_type>(std::move(value));
            }
        },
        [](const error &failure) {
            return outcome<kept_type>(failure);
        },
        [] {
            return outcome<kept_type>(
                error{error_kind::Internal, "an error without details", "report this as a defect with the log"});
        });
}

} // namespace pistachioquay
