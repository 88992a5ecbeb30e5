// Converts between the HTTP messages of this library and those of Boost.Beast. Private to the loop library.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "connection/loop/http_server.h"

namespace pistachioquay {

// toBeast converts a response to the message to be sent and sets its framing headers. Thread safe.
boost::beast::http::response<boost::beast::http::string_body>
toBeast(whole_response response, unsigned version, bool keepAlive);

// toBeast converts a request to the message to be sent and sets its framing headers. Thread safe.
boost::beast::http::request<boost::beast::http::string_body> toBeast(const whole_request &request);

// fromBeast converts a received message. Thread safe.
whole_request fromBeast(boost::beast::http::request<boost::beast::http::string_body> message);
whole_response fromBeast(boost::beast::http::response<boost::beast::http::string_body> message);

} // namespace pistachioquay
